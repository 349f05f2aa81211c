import type { RawData, WebSocket } from "ws";
import { decodeFrame } from "./decodeFrame";

const maxQueuedFrames = 4_096; // a peer that sends faster than its frames are processed is disconnected

/** A decoded frame, a frame that could not be decoded, or the end of the connection. */
export type ReceivedFrame =
    | { readonly kind: "frame"; readonly message: unknown; readonly bytes: number; }
    | { readonly kind: "undecodable"; }
    | { readonly kind: "closed"; };

/** Queues the frames of a web socket for a task that takes them one at a time. */
export class FrameQueue {
    private readonly frames: ReceivedFrame[] = [];
    /** Resolves the pending {@link take}. */
    private resolveTake: ((frame: ReceivedFrame) => void) | undefined;
    private isClosed = false;

    constructor(private readonly socket: WebSocket) {
        socket.on("message", (data: RawData) => this.push(toReceivedFrame(data as Buffer)));
        socket.on("close", () => this.close());
        socket.on("error", () => this.close());
    }

    /** Resolves to the next frame, or to `closed` after the last one. One call at a time may be pending. */
    take(): Promise<ReceivedFrame> {
        const frame = this.frames.shift();
        if (frame) {
            return Promise.resolve(frame);
        }
        if (this.isClosed) {
            return Promise.resolve({ kind: "closed" });
        }
        return new Promise(resolve => {
            this.resolveTake = resolve;
        });
    }

    private close(): void {
        this.isClosed = true;
        this.push({ kind: "closed" });
    }

    private push(frame: ReceivedFrame): void {
        if (this.resolveTake) {
            const resolve = this.resolveTake;
            this.resolveTake = undefined;
            resolve(frame);
            return;
        }
        this.frames.push(frame);
        if (this.frames.length > maxQueuedFrames) {
            this.socket.terminate();
        }
    }
}

const toReceivedFrame = (data: Buffer): ReceivedFrame => {
    try {
        return { kind: "frame", message: decodeFrame(data), bytes: data.length };
    }
    catch {
        return { kind: "undecodable" };
    }
};
