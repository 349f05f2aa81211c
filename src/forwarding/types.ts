/** Shapes of requests that a node forwards, and of the wire format that they come in. */

import type { IncomingHttpHeaders } from "node:http";
import type { AnswerHead } from "../upstreams/UpstreamExchange";
import type { InterruptKind } from "./RequestInterrupt";

/** One part of a prompt; requests may share parts. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What a caller's headers say of its request. */
export interface RequestMetadata {
    /** Differs for each attempt of a caller. */
    readonly requestId: string | undefined;
    /** How long the caller waits, in milliseconds from the request's arrival. */
    readonly deadlineMs: number | undefined;
    readonly apiKey: string | undefined;
    /** Tokens of the prompt; undefined for requests to plain services. */
    readonly promptTokens: number | undefined;
    /** Most tokens of the answer. */
    readonly outputTokens: number;
    /** Parts of the prompt in their order. */
    readonly promptParts: readonly PromptPart[];
    /** Event after which the caller wants a stream to go on. */
    readonly lastEventId: number | undefined;
}

/** What the node itself sets on a call to an upstream. */
export interface CallMetadata {
    /** Time that is left, in milliseconds. */
    readonly remainingMs: number;
    /** The upstream for which the call is meant; any other refuses it. */
    readonly instanceId: string;
    /** Account that holds the caller's key. */
    readonly accountName: string | undefined;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Event after which the stream goes on; undefined leaves the caller's own header. */
    readonly resumeAfterEventId: number | undefined;
}

/** What an upstream's headers say of its answer. */
export interface ResponseMetadata {
    /** Request that the answer belongs to. */
    readonly requestId: string | undefined;
    /** Whether the upstream states that it did not run the request. */
    readonly isNotRun: boolean;
}

/** The names under which callers and upstreams pass what the node reads and sets. */
export interface ForwardProtocol {
    decodeRequest(headers: IncomingHttpHeaders): RequestMetadata;
    /**
     * Creates the headers of a call to an upstream.
     *
     * @param rawHeaders - the caller's headers, names and values by turns
     * @param metadata - what the node sets
     * @returns names and values by turns
     */
    encodeCall(rawHeaders: readonly string[], metadata: CallMetadata): string[];
    decodeResponse(status: number, headers: IncomingHttpHeaders): ResponseMetadata;
}

/** How one sending of a request to an upstream ended. */
export type AttemptResult =
    | { readonly kind: "answered"; }
    | { readonly kind: "interrupted"; readonly by: InterruptKind; }
    | FailedAttemptResult;

/** A sending that did not end in a delivered answer. */
export interface FailedAttemptResult {
    readonly kind: "failed";
    /** Whether any byte of the request may have reached the upstream. */
    readonly isSent: boolean;
    /** Whether the upstream certainly did not run the request. */
    readonly isNotRun: boolean;
    readonly message: string;
    /** The upstream's own failure, passed on when the request goes nowhere else. */
    readonly answer?: { readonly head: AnswerHead; readonly body: Buffer; };
}
