import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from "node:http";
import { selectAnswerHeaders } from "../http/selectAnswerHeaders";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { KnownInstance } from "../placement/InstanceRegistry";
import { repeatRules } from "../routes/types";
import { collectBody, type CollectedBody } from "../upstreams/collectBody";
import type { AnswerHead, UpstreamExchange } from "../upstreams/UpstreamExchange";
import type { AdmittedRequest } from "./admitForward";
import { EventCutter } from "./EventCutter";
import type { ForwardTally } from "./ForwardTally";
import { relayEvents } from "./relayEvents";
import type { InterruptKind, RequestInterrupt } from "./RequestInterrupt";
import type { SendResult } from "./types";

/** Options of {@link AnswerRelay}. */
export interface AnswerRelayOptions {
    readonly clock: Clock;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly admitted: AdmittedRequest;
    readonly tally: ForwardTally;
    readonly interrupt: RequestInterrupt;
}

const maxWholeBytes = 16_777_216; // larger answers are streams
const streamSilenceMs = 1_500; // callers leave a silent stream after 2 s or more
const unlimitedSilenceMs = 86_400_000; // longer than any stream; its own deadline ends it

/** Passes the answers of upstreams on to one caller: whole ones at once, streams event by event and over several upstreams. */
export class AnswerRelay {
    /** Id of the last whole event that was passed on; undefined before the first. */
    lastEventId: number | undefined;

    constructor(private readonly options: AnswerRelayOptions) {}

    /**
     * Passes an answer on.
     *
     * @param known - the upstream
     * @param exchange - the call to it, whose head has arrived
     * @param head - the answer's head
     * @returns what came of it
     */
    *relay(known: KnownInstance, exchange: UpstreamExchange, head: AnswerHead): Task<SendResult> {
        return this.options.admitted.route.isStream && head.status === 200
            ? yield* this.relayStream(known, exchange, head)
            : yield* this.relayWhole(exchange, head);
    }

    /** Collects a whole body, or tells what interrupted the request. */
    *collect(exchange: UpstreamExchange): Task<CollectedBody | InterruptKind> {
        const { interrupt } = this.options;
        return yield* waitFor(Promise.race([collectBody(exchange, maxWholeBytes), interrupt.happened]));
    }

    private *relayWhole(exchange: UpstreamExchange, head: AnswerHead): Task<SendResult> {
        const { response } = this.options;
        const collected = yield* this.collect(exchange);
        if (typeof collected === "string") {
            return { kind: "interrupted", by: collected };
        }
        if (collected.kind === "broken") {
            return { kind: "failed", isSent: true, isNotRun: false, message: collected.message };
        }
        this.options.tally.countUsage();
        const answer = { head, body: collected.body };
        if (head.status >= 500 || response.headersSent) {
            const message = `answered ${head.status}`;
            return { kind: "failed", isSent: true, isNotRun: false, message, answer };
        }
        this.sendWhole(answer.head, answer.body);
        return { kind: "answered" };
    }

    /** Sends an answer that was collected. */
    sendWhole(head: AnswerHead, body: Buffer): void {
        const { response, request } = this.options;
        this.options.tally.recordFirstByte();
        this.options.tally.trace.status = head.status;
        const headers = selectAnswerHeaders(head.headers);
        headers["content-length"] = request.method === "HEAD"
            ? head.headers["content-length"]
            : body.length;
        response.writeHead(head.status, headers);
        response.end(body);
    }

    private *relayStream(
        known: KnownInstance,
        exchange: UpstreamExchange,
        head: AnswerHead,
    ): Task<SendResult> {
        const { clock, response, admitted, interrupt } = this.options;
        if (!response.headersSent) {
            this.options.tally.trace.status = head.status;
            const headers: OutgoingHttpHeaders = selectAnswerHeaders(head.headers);
            response.writeHead(head.status, headers);
            response.flushHeaders();
        }
        const cutter = new EventCutter(this.lastEventId);
        const isResumable = admitted.route.repeat === repeatRules.resumable;
        const end = yield* relayEvents({
            exchange,
            cutter,
            response,
            interrupt,
            clock,
            silenceMs: isResumable ? streamSilenceMs : unlimitedSilenceMs,
            onBytes: () => {
                known.heardMs = clock.readMonotonicMs();
            },
            onFirstEvent: () => {
                this.options.tally.recordFirstByte();
                this.options.tally.countUsage();
            },
        });
        this.lastEventId = cutter.lastId;
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
