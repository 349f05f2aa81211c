import { IncomingMessage } from "node:http";
import { ChunkBuffer } from "../_lib/ChunkBuffer";
import { ReadPacer } from "./ReadPacer";

const smallChunkBytes = 256; // to take a smaller chunk apart costs more than to keep its bytes
const maxSmallChunks = 64; // of a request in one turn of the event loop
const delayMsPerSmallChunk = 0.005; // several times what it costs
const pacer = new ReadPacer(); // one for the process, which all requests share

/**
 * Request to a server. Its body may arrive in chunks of any size, and each read from its connection may bring thousands
 * of small ones. The rest of such a read is delivered as one chunk, and the next read waits for its turn, the longer the more
 * small chunks there were.
 */
export class PacedRequest extends IncomingMessage {
    private smallChunks = 0;
    /** Bytes to be delivered at the request's turn; undefined if it does not wait for one. */
    private held: ChunkBuffer | undefined;
    /** Whether it has its place among those that wait for a turn. */
    private isQueued = false;

    override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
        if (chunk === null) {
            this.deliverHeld();
            return super.push(null);
        }
        if (this.held) {
            this.countSmallChunk();
            this.held.append(chunk);
            return false;
        }
        if (chunk.length < smallChunkBytes) {
            this.countSmallChunk();
        }
        return super.push(chunk, encoding);
    }

    override read(size?: number): unknown {
        // Without the check of what is buffered, it would never be delivered.
        return this.held && this.readableLength === 0 ? null : super.read(size);
    }

    private countSmallChunk(): void {
        if (this.smallChunks === 0) {
            setImmediate(() => this.endTurn());
        }
        this.smallChunks += 1;
        if (this.smallChunks > maxSmallChunks) {
            this.held ??= new ChunkBuffer();
        }
    }

    private endTurn(): void {
        const delayMs = this.smallChunks * delayMsPerSmallChunk;
        this.smallChunks = 0;
        if (this.held && !this.isQueued) {
            this.isQueued = true;
            pacer.enqueue(() => this.resumeReading(), delayMs);
        }
    }

    private resumeReading(): void {
        this.isQueued = false;
        this.deliverHeld();
        if (!this.destroyed) {
            super.read(0); // lets the connection be read again
        }
    }

    private deliverHeld(): void {
        const { held } = this;
        this.held = undefined;
        if (held && held.length > 0 && !this.destroyed) {
            super.push(held.toBuffer());
        }
    }
}
