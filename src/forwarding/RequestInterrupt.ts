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
    readonly plannedStop: Pick<PlannedStop, "isAnswerDue" | "onStep" | "removeListener">;
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
    private readonly onStopStep = (): void => {
        if (this.isAnswerDue()) {
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
        plannedStop.onStep(this.onStopStep);
        void clock.sleep(deadlineMs - clock.readMonotonicMs(), this.timerAbort.signal).then(() => {
            if (!this.timerAbort.signal.aborted) {
                this.interrupt("timeout");
            }
        });
    }

    /** Reads why the request is interrupted now, from connection and clock, as events and timers may be late. */
    read(): InterruptKind | undefined {
        const { response, clock, deadlineMs } = this.options;
        const { socket } = response.req;
        if (socket.destroyed || socket.readableEnded) {
            return "left";
        }
        if (this.kind !== undefined || clock.readMonotonicMs() >= deadlineMs) {
            return this.kind ?? "timeout";
        }
        return this.isAnswerDue() ? "stopping" : undefined;
    }

    /** Cancels the timer and removes the listeners. To be called when the request has ended. */
    close(): void {
        this.timerAbort.abort(abortReason);
        this.options.response.off("close", this.onClose);
        this.options.plannedStop.removeListener(this.onStopStep);
    }

    /** Whether the stop of the node requires an answer now. A response that has begun goes on. */
    private isAnswerDue(): boolean {
        const { plannedStop, response } = this.options;
        return plannedStop.isAnswerDue() && !response.headersSent;
    }

    private interrupt(kind: InterruptKind): void {
        this.kind ??= kind;
        this.resolveInterrupted(this.kind);
    }
}
