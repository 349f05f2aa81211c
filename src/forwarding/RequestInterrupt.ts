import type { ServerResponse } from "node:http";
import { abortReason } from "../_lib/abortReason";
import type { Clock } from "../kernel/types";

/** Why a request ends before its upstream does: its caller has left, or its time is over. */
export type InterruptKind = "left" | "timeout";

/** Tells when a request's caller leaves or its time is over. */
export class RequestInterrupt {
    /** Settles with the first of the two. */
    readonly interrupted: Promise<InterruptKind>;
    private kind: InterruptKind | undefined;
    private readonly timer = new AbortController();
    private settle: (kind: InterruptKind) => void = () => {};
    private readonly onClose = (): void => {
        if (!this.response.writableFinished) {
            this.interrupt("left");
        }
    };

    constructor(private readonly response: ServerResponse, clock: Clock, remainingMs: number) {
        this.interrupted = new Promise(resolve => {
            this.settle = resolve;
        });
        response.on("close", this.onClose);
        if (response.closed) {
            this.onClose();
        }
        void clock.sleep(remainingMs, this.timer.signal).then(() => {
            if (!this.timer.signal.aborted) {
                this.interrupt("timeout");
            }
        });
    }

    /** What has happened, or undefined. */
    get current(): InterruptKind | undefined {
        return this.kind;
    }

    /** Stops the timer; called when the request has ended. */
    close(): void {
        this.timer.abort(abortReason);
        this.response.off("close", this.onClose);
    }

    private interrupt(kind: InterruptKind): void {
        this.kind ??= kind;
        this.settle(this.kind);
    }
}
