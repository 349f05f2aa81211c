import type { ServerResponse } from "node:http";
import type { Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { waitWithTimeout } from "../kernel/waitWithTimeout";
import type { Clock } from "../kernel/types";
import { formatFailure } from "../results/formatFailure";
import { sendStreamHeaders } from "./sendStreamHeaders";
import type { RequestRecord } from "../streams/RequestRecord";

/** Options of {@link writeStream}. */
export interface WriteStreamOptions {
    readonly record: RequestRecord;
    readonly response: ServerResponse;
    /** Byte position in the answer's log from which to write. */
    readonly position: number;
    readonly clock: Clock;
    /** Aborts when the caller's connection closes. */
    readonly closeSignal: AbortSignal;
    /** Longest time for which the caller may read nothing, in milliseconds. */
    readonly stallTimeoutMs: number;
    /** Headers are sent after this time even when there is no event yet, in milliseconds. */
    readonly headersDelayMs: number;
}

/** How a stream to a caller ended. */
export type StreamOutcome = "whole" | "failed" | "closed" | "stalled" | "moved";

const keepAliveMs = 10_000;

/**
 * Writes an answer to its caller as it grows. Bytes are passed on as the engine sent them. A caller that
 * reads slowly holds nothing but the log, which is bounded.
 *
 * @param options - the request and the response
 * @returns how it ended; `failed` without headers sent is left to the caller of this function
 */
export function* writeStream(options: WriteStreamOptions): Task<StreamOutcome> {
    const { record, response, clock, closeSignal } = options;
    const writer = new StreamWriter(options);
    try {
        while (!closeSignal.aborted) {
            if (record.log.isComplete && writer.isCaughtUp) {
                record.isDelivered = true;
                response.end();
                return "whole";
            }
            if (record.state === "handed-over" && writer.isCaughtUp) {
                return "moved";
            }
            if (record.hasEnded && record.state !== "handed-over" && !record.log.isComplete) {
                return writer.endFailed();
            }
            const waitMs = response.headersSent
                ? Math.min(keepAliveMs, options.stallTimeoutMs)
                : options.headersDelayMs;
            const woken = yield* waitFor(writer.waitForWake(clock, waitMs));
            if (!woken && writer.isBlocked) {
                response.destroy();
                return "stalled";
            }
            if (!woken) {
                writer.writeComment("waiting");
            }
        }
        return "closed";
    }
    finally {
        writer.stop();
    }
}

/** Passes new bytes on as they arrive; its task wakes only for the end, a stall or a quiet time. */
class StreamWriter {
    isBlocked = false;
    private position: number;
    private wake: (woken: boolean) => void = () => {};
    private readonly unsubscribe: () => void;
    private readonly onDrain = (): void => {
        this.isBlocked = false;
        this.advance();
        this.wake(true);
    };
    private readonly onClosed = (): void => this.wake(true);

    constructor(private readonly options: WriteStreamOptions) {
        this.position = options.position;
        this.unsubscribe = options.record.log.subscribe(() => this.onChange());
        options.response.on("drain", this.onDrain);
        options.closeSignal.addEventListener("abort", this.onClosed);
        this.advance();
    }

    get isCaughtUp(): boolean {
        return !this.isBlocked && this.position === this.options.record.log.byteLength;
    }

    /** Resolves to true on a change that the task must see, to false after `waitMs`. */
    async waitForWake(clock: Clock, waitMs: number): Promise<boolean> {
        const woken = new Promise<boolean>(resolve => {
            this.wake = resolve;
        });
        return await waitWithTimeout({ clock, promises: [woken], timeoutMs: waitMs }) ?? false;
    }

    writeComment(text: string): void {
        this.sendHeaders();
        this.options.response.write(`: ${text}\n\n`);
    }

    /** Ends a failed answer; without headers sent, the refusal is left to the caller. */
    endFailed(): StreamOutcome {
        const { response, record } = this.options;
        if (response.headersSent) {
            const body = record.failure ? JSON.stringify(formatFailure(record.failure)) : "{}";
            response.end(`data: ${body}\n\n`);
        }
        return "failed";
    }

    stop(): void {
        this.unsubscribe();
        this.options.response.off("drain", this.onDrain);
        this.options.closeSignal.removeEventListener("abort", this.onClosed);
    }

    private onChange(): void {
        this.advance();
        const { record } = this.options;
        if (record.log.isComplete || record.hasEnded) {
            this.wake(true);
        }
    }

    private advance(): void {
        const { record, response, closeSignal } = this.options;
        if (this.isBlocked || closeSignal.aborted || this.position >= record.log.byteLength) {
            return;
        }
        this.sendHeaders();
        const bytes = record.log.read(this.position);
        this.position += bytes.length;
        this.isBlocked = !response.write(bytes);
    }

    private sendHeaders(): void {
        sendStreamHeaders(this.options.response, this.options.record.id);
    }
}
