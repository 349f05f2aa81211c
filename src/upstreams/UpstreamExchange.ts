import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import { ChunkBuffer } from "../_lib/ChunkBuffer";
import { AnswerLimits } from "./AnswerLimits";
import type { TrackedCall } from "./createTrackedConnector";
import type { CallConnection } from "./TrackedClient";

/** How the end of an answer's body is marked. */
export const answerFramings = { length: "length", chunked: "chunked", close: "close" } as const;

/** One of {@link answerFramings}. */
export type AnswerFraming = typeof answerFramings[keyof typeof answerFramings];

/** Status and headers of an upstream's answer. */
export interface AnswerHead {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
}

/** Outcome of waiting for the head of an answer. */
export type ExchangeStart =
    | { readonly kind: "answered"; readonly head: AnswerHead; }
    /** No head arrived. `isSent` is false only if no byte of the call was written. */
    | { readonly kind: "failed"; readonly isSent: boolean; readonly message: string; };

/** Outcome of receiving an answer's body. */
export interface ExchangeEnd {
    /** Whether the complete body arrived. */
    readonly isWhole: boolean;
    /** Reason of the failure if the body is not whole. */
    readonly message?: string;
}

const maxInterimAnswers = 16;

/** Options of {@link UpstreamExchange}. */
export interface UpstreamExchangeOptions {
    /**
     * Checked immediately before the call is written; false prevents the write. Receives whether the connection was opened
     * to the process that is listed. Default: always true.
     */
    readonly isWanted?: (isConfirmed: boolean) => boolean;
}

/**
 * One call to an upstream and its answer, as a dispatch handler of undici. Body chunks are passed to a callback, which
 * costs no promise per chunk.
 */
export class UpstreamExchange implements Dispatcher.DispatchHandler {
    /** How the end of the answer is marked; undefined before its head. */
    framing: AnswerFraming | undefined;
    /** Resolves with the head of the answer or a failure; never rejects. */
    readonly started: Promise<ExchangeStart>;
    /** Resolves when the body has ended, after {@link started}; never rejects. */
    readonly ended: Promise<ExchangeEnd>;
    private settleStart: (start: ExchangeStart) => void = () => {};
    private settleEnd: (end: ExchangeEnd) => void = () => {};
    private controller: Dispatcher.DispatchController | undefined;
    private isAborted = false;
    private isEnded = false;
    private hasHead = false;
    private interimCount = 0;
    private connection: CallConnection | undefined;
    private listener: ((chunk: Buffer) => void) | undefined;
    /** Body that arrived before the listener was set. */
    private readonly early = new ChunkBuffer();
    private readonly limits = new AnswerLimits();
    private readonly trackedCall: TrackedCall = {
        onEnd: () => this.resume(), // undici throws if reading is paused at the end
        onInput: bytes => this.abortWithReason(this.limits.recordInput(bytes)),
    };

    constructor(private readonly options: UpstreamExchangeOptions = {}) {
        this.started = new Promise(resolve => {
            this.settleStart = resolve;
        });
        this.ended = new Promise(resolve => {
            this.settleEnd = resolve;
        });
    }

    /** Whether any byte of the call may have reached the upstream. */
    get isSent(): boolean {
        return this.controller !== undefined;
    }

    /**
     * Sets the receiver of the body. What arrived earlier is passed to it in the same call, as one chunk.
     *
     * @param listener - called with each chunk in order
     */
    listen(listener: (chunk: Buffer) => void): void {
        this.listener = listener;
        if (this.early.length > 0) {
            const chunk = this.early.toBuffer();
            this.early.clear();
            listener(chunk);
        }
    }

    /** Sets the connection to which the call is assigned. */
    setConnection(connection: CallConnection): void {
        this.connection = connection;
    }

    /** Whether the call's connection was opened to the process that is listed. */
    get isConfirmed(): boolean {
        return this.connection?.isConfirmed() ?? false;
    }

    /**
     * Aborts the call by resetting its connection, on which the upstream stops its work. What the upstream's system already
     * has may still be read, and run.
     *
     * @param reason - message of the failure that {@link started} and {@link ended} report
     */
    abort(reason: string): void {
        if (this.isAborted || this.isEnded) {
            return;
        }
        this.isAborted = true;
        if (this.isSent) {
            this.connection?.prepareAbort();
        }
        this.controller?.abort(new Error(reason));
        this.fail(reason);
    }

    /**
     * Aborts the call and closes its connection, also if an answer has arrived completely: one that is not the call's own, so
     * that the next answer on the connection would not be that of the next call.
     *
     * @param reason - message of the failure, if the call has not ended
     */
    dropConnection(reason: string): void {
        this.abort(reason);
        if (this.isEnded) {
            this.connection?.close();
        }
    }

    /** Pauses reading, which applies back-pressure to the upstream. */
    pause(): void {
        this.controller?.pause();
    }

    resume(): void {
        this.controller?.resume();
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        if (this.isAborted) {
            controller.abort(new Error("call aborted before it was sent"));
            return;
        }
        if (this.options.isWanted?.(this.isConfirmed) === false) {
            controller.abort(new Error("call no longer wanted when its connection became free"));
            return;
        }
        this.controller = controller;
        this.connection?.beginCall(this.trackedCall);
    }

    onResponseStart(
        _controller: Dispatcher.DispatchController,
        status: number,
        headers: IncomingHttpHeaders,
        reason = "",
    ): void {
        if (status < 200) {
            this.interimCount += 1;
            if (this.interimCount > maxInterimAnswers) {
                this.abort(`more than ${maxInterimAnswers} interim answers`);
            }
            return;
        }
        if (hasStatusLine([reason, ...Object.values(headers).flat()])) {
            this.abort("the head contains another one, so that it belongs to no answer");
            return;
        }
        this.hasHead = true;
        this.limits.recordHead();
        this.framing = readFraming(headers);
        this.settleStart({ kind: "answered", head: { status, headers } });
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        if (this.isAborted || chunk.length === 0) {
            return;
        }
        this.abortWithReason(this.limits.recordPart(chunk.length));
        if (this.isAborted) {
            return;
        }
        if (this.listener) {
            this.listener(chunk);
        }
        else {
            this.early.append(chunk);
        }
    }

    onResponseEnd(): void {
        this.isEnded = true;
        this.connection?.endCall(this.trackedCall);
        const isTruncated = this.framing === answerFramings.close && this.connection?.isReset() === true;
        this.settleEnd(
            isTruncated
                ? {
                    isWhole: false,
                    message: "connection reset instead of closed; the answer may be incomplete",
                }
                : { isWhole: true },
        );
    }

    onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
        this.fail(error.message);
    }

    private abortWithReason(reason: string | undefined): void {
        if (reason !== undefined) {
            this.abort(reason);
        }
    }

    private fail(message: string): void {
        this.connection?.endCall(this.trackedCall);
        if (!this.hasHead) {
            this.settleStart({ kind: "failed", isSent: this.isSent, message });
        }
        this.settleEnd({ isWhole: false, message });
    }
}

const statusLine = /HTTP\/1\.[01] \d{3}/;

/** Whether one of the texts of a head contains a status line: a part of a head came before, and was never completed. */
const hasStatusLine = (texts: readonly (string | undefined)[]): boolean =>
    texts.some(text => text !== undefined && statusLine.test(text));

const endsWithChunked = /(?:^|,)\s*chunked\s*$/i; // after any other last coding, the answer ends with its connection

const readFraming = (headers: IncomingHttpHeaders): AnswerFraming => {
    const codings = headers["transfer-encoding"];
    if (codings !== undefined) {
        return endsWithChunked.test(codings) ? answerFramings.chunked : answerFramings.close;
    }
    return headers["content-length"] === undefined ? answerFramings.close : answerFramings.length;
};
