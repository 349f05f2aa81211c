import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import type { ResetCheck } from "./TrackedClient";

/** Status and headers of an upstream's answer. */
export interface AnswerHead {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
}

/** How the first part of an exchange ended. */
export type ExchangeStart =
    | { readonly kind: "answered"; readonly head: AnswerHead; }
    /** No answer. `isSent` is false only when no byte of the call was written. */
    | { readonly kind: "failed"; readonly isSent: boolean; readonly message: string; };

/** How an answer's body ended. */
export interface ExchangeEnd {
    /** Whether the body arrived whole. */
    readonly isWhole: boolean;
    readonly message?: string;
}

/** Options of {@link UpstreamExchange}. */
export interface UpstreamExchangeOptions {
    /** Asked right before the call is written; where it says no, nothing is written. Default: always wanted. */
    readonly isWanted?: () => boolean;
}

/** One call to an upstream and its answer. Body bytes go to a listener without a promise for each. */
export class UpstreamExchange implements Dispatcher.DispatchHandler {
    /** Settles with the head of the answer or a failure; never rejects. */
    readonly started: Promise<ExchangeStart>;
    /** Settles when the body has ended, after {@link started}; never rejects. */
    readonly ended: Promise<ExchangeEnd>;
    private settleStart: (start: ExchangeStart) => void = () => {};
    private settleEnd: (end: ExchangeEnd) => void = () => {};
    private controller: Dispatcher.DispatchController | undefined;
    private isAborted = false;
    private isEnded = false;
    private hasHead = false;
    /** Whether the answer has neither a length nor chunks and ends with its connection. */
    private endsWithConnection = false;
    private isReset: ResetCheck = () => false;
    private listener: ((chunk: Buffer) => void) | undefined;
    private waiting: Buffer[] = [];

    constructor(private readonly options: UpstreamExchangeOptions = {}) {
        this.started = new Promise(resolve => {
            this.settleStart = resolve;
        });
        this.ended = new Promise(resolve => {
            this.settleEnd = resolve;
        });
    }

    /** Whether bytes of the call may have reached the upstream. */
    get isSent(): boolean {
        return this.controller !== undefined;
    }

    /**
     * Passes body bytes on, those that have arrived before first.
     *
     * @param listener - receives each chunk
     */
    listen(listener: (chunk: Buffer) => void): void {
        this.listener = listener;
        const waiting = this.waiting;
        this.waiting = [];
        waiting.forEach(chunk => listener(chunk));
    }

    /** Sets how to learn whether the call's connection was reset. */
    setResetCheck(isReset: ResetCheck): void {
        this.isReset = isReset;
    }

    /** Ends the call by closing its connection, so that the upstream stops work. */
    abort(reason: string): void {
        if (this.isAborted || this.isEnded) {
            return;
        }
        this.isAborted = true;
        this.controller?.abort(new Error(reason));
        this.settle(reason);
    }

    /** Stops reading, so that the upstream is held back. */
    pause(): void {
        this.controller?.pause();
    }

    resume(): void {
        this.controller?.resume();
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        if (this.isAborted) {
            controller.abort(new Error("the call was given up"));
            return;
        }
        if (this.options.isWanted?.() === false) {
            controller.abort(new Error("the call is no longer wanted"));
            return;
        }
        this.controller = controller;
    }

    onResponseStart(
        _controller: Dispatcher.DispatchController,
        status: number,
        headers: IncomingHttpHeaders,
    ): void {
        if (status < 200) {
            return;
        }
        this.hasHead = true;
        this.endsWithConnection = headers["content-length"] === undefined
            && headers["transfer-encoding"] === undefined;
        this.settleStart({ kind: "answered", head: { status, headers } });
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        if (this.isAborted) {
            return;
        }
        if (this.listener) {
            this.listener(chunk);
        }
        else {
            this.waiting.push(chunk);
        }
    }

    onResponseEnd(): void {
        this.isEnded = true;
        const isBroken = this.endsWithConnection && this.isReset();
        this.settleEnd(
            isBroken ? { isWhole: false, message: "the connection was reset" } : { isWhole: true },
        );
    }

    onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
        this.settle(error.message);
    }

    private settle(message: string): void {
        if (!this.hasHead) {
            this.settleStart({ kind: "failed", isSent: this.isSent, message });
        }
        this.settleEnd({ isWhole: false, message });
    }
}
