import type { ServerResponse } from "node:http";
import { abortReason } from "../_lib/abortReason";
import type { Clock } from "../kernel/types";

/** Why a request is interrupted: its caller disconnected (`left`) or its deadline passed (`timeout`). */
export type InterruptKind = "left" | "timeout";

/** Detects that the caller of a request disconnects or that the request's deadline passes. */
export class RequestInterrupt {
    /** Resolves with the first interrupt; never settles if there is none. */
    readonly interrupted: Promise<InterruptKind>;
    private kind: InterruptKind | undefined;
    private readonly timerAbort = new AbortController();
    private resolveInterrupted: (kind: InterruptKind) => void = () => {};
    private readonly onClose = (): void => {
        if (!this.response.writableFinished) {
            this.interrupt("left");
        }
    };

    /**
     * @param response - response to the caller
     * @param clock - clock of the deadline
     * @param deadlineMs - monotonic time, in milliseconds
     */
    constructor(
        private readonly response: ServerResponse,
        private readonly clock: Clock,
        private readonly deadlineMs: number,
    ) {
        this.interrupted = new Promise(resolve => {
            this.resolveInterrupted = resolve;
        });
        response.on("close", this.onClose);
        if (response.closed) {
            this.onClose();
        }
        void clock.sleep(deadlineMs - clock.readMonotonicMs(), this.timerAbort.signal).then(() => {
            if (!this.timerAbort.signal.aborted) {
                this.interrupt("timeout");
            }
        });
    }

    /** Reads why the request is interrupted now, from connection and clock, as events and timers may be late. */
    read(): InterruptKind | undefined {
        const { socket } = this.response.req;
        if (socket.destroyed || socket.readableEnded) {
            return "left";
        }
        return this.kind ?? (this.clock.readMonotonicMs() >= this.deadlineMs ? "timeout" : undefined);
    }

    /** Cancels the timer and removes the listener. To be called when the request has ended. */
    close(): void {
        this.timerAbort.abort(abortReason);
        this.response.off("close", this.onClose);
    }

    private interrupt(kind: InterruptKind): void {
        this.kind ??= kind;
        this.resolveInterrupted(this.kind);
    }
}
