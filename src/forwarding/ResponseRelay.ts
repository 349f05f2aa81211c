import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from "node:http";
import { selectResponseHeaders } from "../http/selectResponseHeaders";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { waitWithTimeout } from "../kernel/waitWithTimeout";
import type { TrackedInstance } from "../placement/createTrackedInstance";
import type { HeldMemory } from "../upstreams/AnswerMemory";
import { collectBody, type CollectedBody } from "../upstreams/collectBody";
import type { AnswerHead, UpstreamExchange } from "../upstreams/UpstreamExchange";
import type { AdmittedRequest } from "./admitRequest";
import { minIdleTimeoutMs } from "./computeIdleTimeoutMs";
import { EventStreamSplitter } from "./EventStreamSplitter";
import type { ForwardRecorder } from "./ForwardRecorder";
import { isEventStream } from "./isEventStream";
import type { CrashWatch } from "./CrashWatch";
import { relayEvents } from "./relayEvents";
import type { StreamBinding } from "./StreamBinding";
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
    readonly crashWatch: CrashWatch;
    /** The software version that begins the stream. */
    readonly binding: Pick<StreamBinding, "softwareVersion">;
    /** Called at the first event of each attempt. */
    readonly onFirstEvent: () => void;
    /** Whether a stream may go on at another upstream now, after a time without an event, in milliseconds. */
    readonly isResumableElsewhere: (upstream: TrackedInstance, idleMs: number) => boolean;
    /** Memory of the request for collected answers. */
    readonly memory: HeldMemory;
}

const maxBufferedBytes = 16_777_216; // 16 MiB; larger answers have to be streams
const maxRefusalBytes = 65_536;
const refusalTimeoutMs = 100;

/**
 * Relays upstream answers to one caller. An event stream is relayed event by event and continues when it is resumed on
 * another upstream; any other answer is buffered completely before it is sent.
 */
export class ResponseRelay {
    /** Id of the last complete event that was relayed; undefined before the first. */
    lastEventId: number | undefined;

    constructor(private readonly options: ResponseRelayOptions) {}

    /**
     * Relays an answer.
     *
     * @param upstream - upstream that answers
     * @param exchange - exchange with the upstream, whose head has arrived
     * @param head - status and headers of the answer
     * @returns result of the attempt
     */
    *relay(upstream: TrackedInstance, exchange: UpstreamExchange, head: AnswerHead): Task<AttemptResult> {
        return this.options.admitted.route.isStream && isEventStream(head)
            ? yield* this.relayStream(upstream, exchange, head)
            : yield* this.relayBuffered(exchange, head);
    }

    /** Collects the complete body of an answer. Returns the kind of interrupt if the request is interrupted first. */
    private *collectBody(exchange: UpstreamExchange): Task<CollectedBody | InterruptKind> {
        const { interrupt, memory } = this.options;
        const collected = collectBody(exchange, { maxBytes: maxBufferedBytes, memory });
        return yield* waitFor(Promise.race([collected, interrupt.interrupted]));
    }

    /** Reads the body of a refusal, so that its connection can be used again. Gives up on long and on slow ones. */
    *drainRefusal(exchange: UpstreamExchange): Task<void> {
        const { clock, interrupt } = this.options;
        const collected = collectBody(exchange, { maxBytes: maxRefusalBytes });
        const promises = [collected, interrupt.interrupted];
        yield* waitFor(waitWithTimeout<unknown>({ clock, promises, timeoutMs: refusalTimeoutMs }));
    }

    private *relayBuffered(exchange: UpstreamExchange, head: AnswerHead): Task<AttemptResult> {
        const { response } = this.options;
        const collected = yield* this.collectBody(exchange);
        if (typeof collected === "string") {
            return { kind: "interrupted", by: collected };
        }
        this.options.recorder.recordAnswerEnd(exchange.framing, collected.kind);
        if (collected.kind === "broken") {
            return { kind: "failed", isSent: true, isNotRun: false, message: collected.message };
        }
        this.options.recorder.recordUsage();
        const answer = { head, body: collected.body };
        if (head.status >= 500 || response.headersSent) {
            const message = `upstream answered with status ${head.status}`;
            return { kind: "failed", isSent: true, isNotRun: false, message, answer };
        }
        this.sendBuffered(answer.head, answer.body);
        return { kind: "answered" };
    }

    /** Sends a buffered answer to the caller. */
    sendBuffered(head: AnswerHead, body: Buffer): void {
        const { response, request } = this.options;
        this.options.recorder.recordFirstByte();
        this.options.recorder.trace.status = head.status;
        const headers = selectResponseHeaders(head.headers);
        headers["content-length"] = request.method === "HEAD"
            ? head.headers["content-length"]
            : body.length;
        response.writeHead(head.status, headers);
        response.end(body);
    }

    private *relayStream(
        upstream: TrackedInstance,
        exchange: UpstreamExchange,
        head: AnswerHead,
    ): Task<AttemptResult> {
        const { clock, response, interrupt, crashWatch } = this.options;
        if (!response.headersSent) {
            this.options.recorder.trace.status = head.status;
            const headers: OutgoingHttpHeaders = selectResponseHeaders(head.headers);
            response.writeHead(head.status, headers);
            response.flushHeaders();
        }
        const splitter = new EventStreamSplitter(this.lastEventId);
        const end = yield* relayEvents({
            exchange,
            splitter,
            response,
            interrupt,
            clock,
            idleTimeoutMs: minIdleTimeoutMs,
            isResumableElsewhere: idleMs => this.options.isResumableElsewhere(upstream, idleMs),
            onData: () => {
                upstream.lastReceivedMs = clock.readMonotonicMs();
                crashWatch.observeData(upstream);
            },
            onFirstEvent: () => {
                crashWatch.observeFirstEvent();
                this.options.onFirstEvent();
                this.options.recorder.recordFirstByte();
                this.options.recorder.recordUsage();
                this.options.recorder.recordStream(this.options.binding.softwareVersion);
            },
        });
        this.lastEventId = splitter.lastEventId;
        this.options.recorder.recordAnswerEnd(exchange.framing, end.kind, splitter.incompleteEvent.length);
        switch (end.kind) {
            case "whole":
                response.end();
                return { kind: "answered" };
            case "interrupted":
                return end;
            case "broken":
                return {
                    kind: "failed",
                    isSent: true,
                    isNotRun: false,
                    message: end.message,
                    isIdle: end.isIdle,
                };
        }
    }
}
