import { Unpackr } from "msgpackr";
import type { RawData, WebSocket } from "ws";

const maxQueuedFrames = 4_096; // a peer that sends faster than its task reads is cut off

const unpackr = new Unpackr({ useRecords: false, mapsAsObjects: true });

/** A frame that arrived, or the end of the connection. */
export type ReceivedFrame =
    | { readonly kind: "frame"; readonly message: unknown; readonly bytes: number; }
    | { readonly kind: "garbled"; }
    | { readonly kind: "closed"; };

/** Turns the events of a web socket into frames that a task takes one by one. */
export class FrameQueue {
    private readonly frames: ReceivedFrame[] = [];
    private waiting: ((frame: ReceivedFrame) => void) | undefined;
    private closed = false;

    constructor(private readonly socket: WebSocket) {
        socket.on("message", (data: RawData) => this.push(unpackFrame(data as Buffer)));
        socket.on("close", () => this.close());
        socket.on("error", () => this.close());
    }

    /** Resolves to the next frame. */
    take(): Promise<ReceivedFrame> {
        const frame = this.frames.shift();
        if (frame) {
            return Promise.resolve(frame);
        }
        if (this.closed) {
            return Promise.resolve({ kind: "closed" });
        }
        return new Promise(resolve => {
            this.waiting = resolve;
        });
    }

    private close(): void {
        this.closed = true;
        this.push({ kind: "closed" });
    }

    private push(frame: ReceivedFrame): void {
        if (this.waiting) {
            const resolve = this.waiting;
            this.waiting = undefined;
            resolve(frame);
            return;
        }
        this.frames.push(frame);
        if (this.frames.length > maxQueuedFrames) {
            this.socket.terminate();
        }
    }
}

const unpackFrame = (data: Buffer): ReceivedFrame => {
    try {
        return { kind: "frame", message: unpackr.unpack(data), bytes: data.length };
    }
    catch {
        return { kind: "garbled" };
    }
};
