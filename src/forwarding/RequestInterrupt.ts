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

    constructor(private readonly response: ServerResponse, clock: Clock, remainingMs: number) {
        this.interrupted = new Promise(resolve => {
            this.resolveInterrupted = resolve;
        });
        response.on("close", this.onClose);
        if (response.closed) {
            this.onClose();
        }
        void clock.sleep(remainingMs, this.timerAbort.signal).then(() => {
            if (!this.timerAbort.signal.aborted) {
                this.interrupt("timeout");
            }
        });
    }

    /** First interrupt, or undefined if there was none. */
    get current(): InterruptKind | undefined {
        return this.kind;
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
