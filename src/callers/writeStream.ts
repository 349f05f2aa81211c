import type { ServerResponse } from "node:http";
import { abortResponse } from "../http/abortResponse";
import { breakOffResponse } from "../http/breakOffResponse";
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
    /** Byte position in the request's log from which to write. */
    readonly position: number;
    readonly clock: Clock;
    /** Aborts when the caller's connection closes. */
    readonly closeSignal: AbortSignal;
    /**
     * A caller that reads nothing for this long is disconnected, in milliseconds. Values above the keep-alive
     * interval of 10 s have the effect of that interval.
     */
    readonly stallTimeoutMs: number;
    /** Headers are sent after this time even if there is no event yet, in milliseconds. */
    readonly headersDelayMs: number;
}

/** How a stream to a caller ended. `stalled`: the caller read nothing. `moved`: another node took over. */
export type StreamOutcome = "whole" | "failed" | "closed" | "stalled" | "moved";

const keepAliveIntervalMs = 10_000; // a comment is sent at this interval while there are no events

/**
 * Writes an answer to its caller as events arrive. Bytes are forwarded as the engine sent them. Nothing is
 * buffered for a slow caller beyond the request's log, which is bounded.
 *
 * @param options - the request and the response
 * @returns how it ended; on `failed` before headers were sent, the calling function sends the error response
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
                return yield* writer.endFailed();
            }
            const waitMs = response.headersSent
                ? Math.min(keepAliveIntervalMs, options.stallTimeoutMs)
                : options.headersDelayMs;
            const hasChanged = yield* waitFor(writer.waitForChange(clock, waitMs));
            if (!hasChanged && writer.isBlocked) {
                abortResponse(response);
                return "stalled";
            }
            if (!hasChanged) {
                writer.writeComment("waiting");
            }
        }
        return "closed";
    }
    finally {
        writer.stop();
    }
}

/**
 * Forwards new bytes as they arrive. The waiting task resumes only when the answer ends, the socket has
 * drained, the caller disconnects, or the wait times out.
 */
class StreamWriter {
    isBlocked = false;
    private position: number;
    private resumeTask: (hasChanged: boolean) => void = () => {};
    private readonly unsubscribe: () => void;
    private readonly onDrain = (): void => {
        this.isBlocked = false;
        this.writeAvailable();
        this.resumeTask(true);
    };
    private readonly onClosed = (): void => this.resumeTask(true);

    constructor(private readonly options: WriteStreamOptions) {
        this.position = options.position;
        this.unsubscribe = options.record.log.subscribe(() => this.onChange());
        options.response.on("drain", this.onDrain);
        options.closeSignal.addEventListener("abort", this.onClosed);
        this.writeAvailable();
    }

    /** Whether the whole log has been written and the socket accepts more. */
    get isCaughtUp(): boolean {
        return !this.isBlocked && this.position === this.options.record.log.byteLength;
    }

    /** Resolves to true on a change that the task must handle, or to false after `waitMs`. */
    async waitForChange(clock: Clock, waitMs: number): Promise<boolean> {
        const hasChanged = new Promise<boolean>(resolve => {
            this.resumeTask = resolve;
        });
        return await waitWithTimeout({ clock, promises: [hasChanged], timeoutMs: waitMs }) ?? false;
    }

    writeComment(text: string): void {
        this.sendHeaders();
        this.options.response.write(`: ${text}\n\n`);
    }

    /** Ends a failed answer. If no headers were sent, the caller of writeStream sends the error response. */
    *endFailed(): Task<StreamOutcome> {
        const { response, record } = this.options;
        if (response.headersSent) {
            const body = record.failure ? JSON.stringify(formatFailure(record.failure)) : "{}";
            yield* waitFor(breakOffResponse(response, `data: ${body}\n\n`));
        }
        return "failed";
    }

    stop(): void {
        this.unsubscribe();
        this.options.response.off("drain", this.onDrain);
        this.options.closeSignal.removeEventListener("abort", this.onClosed);
    }

    private onChange(): void {
        this.writeAvailable();
        const { record } = this.options;
        if (record.log.isComplete || record.hasEnded) {
            this.resumeTask(true);
        }
    }

    private writeAvailable(): void {
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
