/** Types of forwarded requests and of the protocol by which their headers are read and written. */

import type { IncomingHttpHeaders } from "node:http";
import type { AnswerHead } from "../upstreams/UpstreamExchange";
import type { InterruptKind } from "./RequestInterrupt";

/** One part of a prompt. Requests with the same part id share that part. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Data decoded from the headers of a caller's request. */
export interface RequestMetadata {
    /** Id of the caller's attempt; each retry by the caller has another one. */
    readonly requestId: string | undefined;
    /** Time from the request's arrival to the deadline set by the caller, in milliseconds. */
    readonly deadlineMs: number | undefined;
    readonly apiKey: string | undefined;
    /** Tokens of the prompt; undefined for requests to plain services. */
    readonly promptTokens: number | undefined;
    /** Maximum number of tokens of the answer. */
    readonly outputTokens: number;
    /** Parts of the prompt, in order. */
    readonly promptParts: readonly PromptPart[];
    /** Id of the event after which the caller resumes a stream. */
    readonly lastEventId: number | undefined;
    /** Id of the caller's attempt that brought the first event of the stream that is resumed. */
    readonly resumedRequestId: string | undefined;
}

/** Data that the node sets in the headers of a call to an upstream. */
export interface CallMetadata {
    /** Time until the deadline, in milliseconds. */
    readonly remainingMs: number;
    /** Id of the upstream for which the call is meant; any other upstream refuses it. */
    readonly instanceId: string;
    /** Name of the client account that holds the caller's key. */
    readonly accountName: string | undefined;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Id of the event after which the stream is resumed; undefined keeps the caller's own header. */
    readonly resumeAfterEventId: number | undefined;
}

/** Data decoded from the status and headers of an upstream's answer. */
export interface ResponseMetadata {
    /** Id of the request that the answer belongs to. */
    readonly requestId: string | undefined;
    /** Whether the upstream states that it did not run the request. */
    readonly isNotRun: boolean;
    /** Whether the upstream states that it is leaving. */
    readonly isLeaving: boolean;
    /** Time for which the upstream refuses further requests, in milliseconds; undefined if it states none. */
    readonly refusesForMs: number | undefined;
    /** Requests a second that the upstream takes from all nodes together; undefined if it states no limit. */
    readonly limitPerS: number | undefined;
    /** Requests that the upstream may turn away in a second before it falls over; undefined if it is not brittle. */
    readonly turnedAwayPerS: number | undefined;
}

/** Decodes and encodes the headers by which callers, this node and upstreams exchange request data. */
export interface ForwardProtocol {
    decodeRequest(headers: IncomingHttpHeaders): RequestMetadata;
    /**
     * Creates the headers of a call to an upstream.
     *
     * @param rawHeaders - headers of the caller, as alternating names and values
     * @param metadata - data that the node sets
     * @returns headers as alternating names and values
     */
    encodeCall(rawHeaders: readonly string[], metadata: CallMetadata): string[];
    decodeResponse(status: number, headers: IncomingHttpHeaders): ResponseMetadata;
}

/** Result of one attempt to send a request to an upstream. */
export type AttemptResult =
    | { readonly kind: "answered"; }
    | { readonly kind: "interrupted"; readonly by: InterruptKind; }
    | FailedAttemptResult;

/** Result of an attempt that did not end in a delivered answer. */
export interface FailedAttemptResult {
    readonly kind: "failed";
    /** Whether any byte of the request may have reached the upstream. */
    readonly isSent: boolean;
    /** Whether the upstream certainly did not run the request. */
    readonly isNotRun: boolean;
    readonly message: string;
    /** Whether no answer began in time, though the connection held. */
    readonly isSilent?: boolean;
    /** Whether a stream was left since no event came, though the connection held. */
    readonly isIdle?: boolean;
    /** Error answer of the upstream, relayed if the request is not retried. */
    readonly answer?: { readonly head: AnswerHead; readonly body: Buffer; };
}
