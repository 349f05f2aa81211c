import type { ServerResponse } from "node:http";
import { abortReason } from "../_lib/abortReason";
import type { PlannedStop } from "../stopping/PlannedStop";
import type { Clock } from "../kernel/types";

/**
 * Why a request is interrupted: its caller disconnected (`left`), its deadline passed (`timeout`), or the node stops before
 * its response has begun (`stopping`).
 */
export type InterruptKind = "left" | "timeout" | "stopping";

/** Options of {@link RequestInterrupt}. */
export interface RequestInterruptOptions {
    /** Response to the caller. */
    readonly response: ServerResponse;
    /** Clock of the deadline. */
    readonly clock: Clock;
    /** Monotonic time, in milliseconds. */
    readonly deadlineMs: number;
    readonly plannedStop: Pick<PlannedStop, "isAnswerDue" | "onAnswerDue" | "removeListener">;
}

/** Detects that a request can go on no longer, because of its caller, its deadline or the node's stop. */
export class RequestInterrupt {
    /** Resolves with the first interrupt; never settles if there is none. */
    readonly interrupted: Promise<InterruptKind>;
    private kind: InterruptKind | undefined;
    private readonly timerAbort = new AbortController();
    private resolveInterrupted: (kind: InterruptKind) => void = () => {};
    private readonly onClose = (): void => {
        if (!this.options.response.writableFinished) {
            this.interrupt("left");
        }
    };
    private readonly onAnswerDue = (): void => {
        if (!this.options.response.headersSent) {
            this.interrupt("stopping");
        }
    };

    constructor(private readonly options: RequestInterruptOptions) {
        const { response, clock, deadlineMs, plannedStop } = options;
        this.interrupted = new Promise(resolve => {
            this.resolveInterrupted = resolve;
        });
        response.on("close", this.onClose);
        if (response.closed) {
            this.onClose();
        }
        plannedStop.onAnswerDue(this.onAnswerDue);
        void clock.sleep(deadlineMs - clock.readMonotonicMs(), this.timerAbort.signal).then(() => {
            if (!this.timerAbort.signal.aborted) {
                this.interrupt("timeout");
            }
        });
    }

    /** Reads why the request is interrupted now, from connection and clock, as events and timers may be late. */
    read(): InterruptKind | undefined {
        const { response, clock, deadlineMs, plannedStop } = this.options;
        const { socket } = response.req;
        if (socket.destroyed || socket.readableEnded) {
            return "left";
        }
        if (this.kind !== undefined || clock.readMonotonicMs() >= deadlineMs) {
            return this.kind ?? "timeout";
        }
        return plannedStop.isAnswerDue() && !response.headersSent ? "stopping" : undefined;
    }

    /** Cancels the timer and removes the listeners. To be called when the request has ended. */
    close(): void {
        this.timerAbort.abort(abortReason);
        this.options.response.off("close", this.onClose);
        this.options.plannedStop.removeListener(this.onAnswerDue);
    }

    private interrupt(kind: InterruptKind): void {
        this.kind ??= kind;
        this.resolveInterrupted(this.kind);
    }
}
