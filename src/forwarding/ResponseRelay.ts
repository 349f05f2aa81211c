import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from "node:http";
import { selectAnswerHeaders } from "../http/selectAnswerHeaders";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { TrackedInstance } from "../placement/InstanceRegistry";
import { retryRules } from "../routes/types";
import { collectBody, type CollectedBody } from "../upstreams/collectBody";
import type { AnswerHead, UpstreamExchange } from "../upstreams/UpstreamExchange";
import type { AdmittedRequest } from "./admitRequest";
import { EventStreamSplitter } from "./EventStreamSplitter";
import type { ForwardRecorder } from "./ForwardRecorder";
import { relayEvents } from "./relayEvents";
import type { InterruptKind, RequestInterrupt } from "./RequestInterrupt";
import type { AttemptResult } from "./types";

/** Options of {@link ResponseRelay}. */
export interface ResponseRelayOptions {
    readonly clock: Clock;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly admitted: AdmittedRequest;
    readonly recorder: ForwardRecorder;
    readonly interrupt: RequestInterrupt;
}

const maxWholeBytes = 16_777_216; // larger answers are streams
const streamSilenceMs = 1_500; // callers leave a silent stream after 2 s or more
const unlimitedSilenceMs = 86_400_000; // longer than any stream; its own deadline ends it

/** Passes the answers of upstreams on to one caller: whole ones at once, streams event by event and over several upstreams. */
export class ResponseRelay {
    /** Id of the last whole event that was passed on; undefined before the first. */
    lastEventId: number | undefined;

    constructor(private readonly options: ResponseRelayOptions) {}

    /**
     * Passes an answer on.
     *
     * @param known - the upstream
     * @param exchange - the call to it, whose head has arrived
     * @param head - the answer's head
     * @returns what came of it
     */
    *relay(known: TrackedInstance, exchange: UpstreamExchange, head: AnswerHead): Task<AttemptResult> {
        return this.options.admitted.route.isStream && head.status === 200
            ? yield* this.relayStream(known, exchange, head)
            : yield* this.relayWhole(exchange, head);
    }

    /** Collects a whole body, or tells what interrupted the request. */
    *collectBody(exchange: UpstreamExchange): Task<CollectedBody | InterruptKind> {
        const { interrupt } = this.options;
        return yield* waitFor(Promise.race([collectBody(exchange, maxWholeBytes), interrupt.interrupted]));
    }

    private *relayWhole(exchange: UpstreamExchange, head: AnswerHead): Task<AttemptResult> {
        const { response } = this.options;
        const collected = yield* this.collectBody(exchange);
        if (typeof collected === "string") {
            return { kind: "interrupted", by: collected };
        }
        if (collected.kind === "broken") {
            return { kind: "failed", isSent: true, isNotRun: false, message: collected.message };
        }
        this.options.recorder.recordUsage();
        const answer = { head, body: collected.body };
        if (head.status >= 500 || response.headersSent) {
            const message = `answered ${head.status}`;
            return { kind: "failed", isSent: true, isNotRun: false, message, answer };
        }
        this.sendBuffered(answer.head, answer.body);
        return { kind: "answered" };
    }

    /** Sends an answer that was collected. */
    sendBuffered(head: AnswerHead, body: Buffer): void {
        const { response, request } = this.options;
        this.options.recorder.recordFirstByte();
        this.options.recorder.trace.status = head.status;
        const headers = selectAnswerHeaders(head.headers);
        headers["content-length"] = request.method === "HEAD"
            ? head.headers["content-length"]
            : body.length;
        response.writeHead(head.status, headers);
        response.end(body);
    }

    private *relayStream(
        known: TrackedInstance,
        exchange: UpstreamExchange,
        head: AnswerHead,
    ): Task<AttemptResult> {
        const { clock, response, admitted, interrupt } = this.options;
        if (!response.headersSent) {
            this.options.recorder.trace.status = head.status;
            const headers: OutgoingHttpHeaders = selectAnswerHeaders(head.headers);
            response.writeHead(head.status, headers);
            response.flushHeaders();
        }
        const cutter = new EventStreamSplitter(this.lastEventId);
        const isResumable = admitted.route.retryRule === retryRules.resumable;
        const end = yield* relayEvents({
            exchange,
            splitter: cutter,
            response,
            interrupt,
            clock,
            idleTimeoutMs: isResumable ? streamSilenceMs : unlimitedSilenceMs,
            onBytes: () => {
                known.lastReceivedMs = clock.readMonotonicMs();
            },
            onFirstEvent: () => {
                this.options.recorder.recordFirstByte();
                this.options.recorder.recordUsage();
            },
        });
        this.lastEventId = cutter.lastEventId;
        switch (end.kind) {
            case "whole":
                response.end();
                return { kind: "answered" };
            case "interrupted":
                return end;
            case "broken":
                return { kind: "failed", isSent: true, isNotRun: false, message: end.message };
        }
    }
}
