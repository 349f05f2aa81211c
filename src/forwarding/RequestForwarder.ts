import type { IncomingMessage, ServerResponse } from "node:http";
import type { Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { waitWithTimeout } from "../kernel/waitWithTimeout";
import type { TrackedInstance } from "../placement/InstanceRegistry";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import { retryRules } from "../routes/types";
import { eventKinds } from "../telemetry/eventKinds";
import type { UpstreamExchange } from "../upstreams/UpstreamExchange";
import type { AdmittedRequest } from "./admitRequest";
import { ResponseRelay } from "./ResponseRelay";
import { computeFailoverDelayMs } from "./computeFailoverDelayMs";
import { createAffinityKey } from "./createAffinityKey";
import { decideRetry } from "./decideRetry";
import type { ForwardContext } from "./ForwardContext";
import { ForwardRecorder } from "./ForwardRecorder";
import { RequestInterrupt } from "./RequestInterrupt";
import type { AttemptResult, FailedAttemptResult } from "./types";
import { type ResponseStartOutcome, waitForResponseStart } from "./waitForResponseStart";

/** Options of {@link RequestForwarder}. */
export interface RequestForwarderOptions {
    readonly context: ForwardContext;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly admitted: AdmittedRequest;
    readonly body: Buffer;
    /** Monotonic time of the request's arrival, in milliseconds. */
    readonly arrivedMs: number;
}

const resumeTries = 8; // with the pause, less than the silence after which callers leave a stream
const resumePauseMs = 150;
const fullRetryAfterMs = 300; // requests of plain services take tens of ms, streams a few seconds
const leastRemainingMs = 10; // no upstream answers faster

/** Carries one admitted request to an upstream and its answer back, over several upstreams where that is allowed. */
export class RequestForwarder {
    readonly recorder: ForwardRecorder;
    /** Why the request ended without a whole answer, for its log line. */
    endReason: string | undefined;
    private readonly interrupt: RequestInterrupt;
    private readonly answerRelay: ResponseRelay;
    private readonly endsMs: number;
    private readonly tried = new Set<string>();

    constructor(private readonly options: RequestForwarderOptions) {
        const { context, admitted, arrivedMs } = options;
        const allowedMs = Math.min(admitted.metadata.deadlineMs ?? Infinity, admitted.route.timeoutMs);
        this.endsMs = arrivedMs + allowedMs;
        this.recorder = new ForwardRecorder(options);
        this.interrupt = new RequestInterrupt(options.response, context.clock, this.computeRemainingMs());
        const { request, response } = options;
        const { recorder, interrupt } = this;
        this.answerRelay = new ResponseRelay({
            clock: context.clock,
            request,
            response,
            admitted,
            recorder,
            interrupt,
        });
    }

    /** Service that the request goes to. */
    get service(): string {
        return this.options.admitted.service;
    }

    /**
     * Runs until the answer is delivered.
     *
     * @returns what ended it
     * @throws FailureError when the node has to answer itself
     */
    *run(): Task<"answered" | "left" | "broken"> {
        try {
            const result = yield* this.sendUntilSettled();
            if (result.kind === "answered") {
                return "answered";
            }
            return this.endUnanswered(result);
        }
        finally {
            this.interrupt.close();
            this.giveBackQuota();
        }
    }

    private *sendUntilSettled(): Task<AttemptResult> {
        const { context, admitted } = this.options;
        const budget = context.retryBudgets.get(admitted.service);
        budget.countRequest();
        for (;;) {
            const known = this.choose() ?? (yield* this.waitForInstance());
            if (!known) {
                return { kind: "failed", isSent: false, isNotRun: true, message: "no upstream is available" };
            }
            const result = yield* this.send(known);
            if (result.kind !== "failed") {
                return result;
            }
            const next = decideRetry(result, {
                retryRule: admitted.route.retryRule,
                runs: this.recorder.trace.runs,
                maxRuns: admitted.route.maxRuns,
                sends: this.recorder.trace.sends,
                takeRetry: () => budget.takeRetry(),
            });
            this.reportFailedSend(known, result, next);
            if (next === "stop" || this.computeRemainingMs() < leastRemainingMs) {
                return result;
            }
        }
    }

    /** A stream that has begun waits a moment for an upstream to go on at; any other request is refused at once. */
    private *waitForInstance(): Task<TrackedInstance | undefined> {
        const { context, response } = this.options;
        for (let tries = 0; response.headersSent && tries < resumeTries; tries += 1) {
            const pending = [this.interrupt.interrupted];
            if (
                yield* waitFor(
                    waitWithTimeout({ clock: context.clock, promises: pending, timeoutMs: resumePauseMs }),
                )
            ) {
                return undefined;
            }
            this.tried.clear();
            const known = this.choose();
            if (known) {
                return known;
            }
        }
        return undefined;
    }

    /** Chooses an upstream that has not failed this request. */
    private choose(): TrackedInstance | undefined {
        const { context, admitted } = this.options;
        const usable = context.instances.listUsable(admitted.service);
        const fresh = usable.filter(known => !this.tried.has(known.instance.id));
        const views = context.instances.createViews(fresh);
        const view = context.placement.choose(
            { affinityKey: createAffinityKey(admitted.metadata.promptParts) },
            views,
        );
        this.recorder.trace.upstreamLoad = view?.inFlight;
        return fresh.find(known => known.instance.id === view?.id);
    }

    private *send(known: TrackedInstance): Task<AttemptResult> {
        const { context, request, body } = this.options;
        this.recorder.trace.sends += 1;
        this.recorder.trace.upstream = known.instance.id;
        this.tried.add(known.instance.id);
        const exchange = known.client.send({
            method: request.method!,
            path: request.url!,
            headers: this.createHeaders(known),
            body: body.length > 0 ? body : undefined,
            isWanted: () => context.instances.isAcceptingRequests(known),
        });
        context.instances.beginRequest(known);
        try {
            const result = yield* this.followExchange(known, exchange);
            this.recorder.recordAttempt(toSendOutcome(result));
            return result;
        }
        finally {
            exchange.abort("the request has ended");
            context.instances.endRequest(known);
        }
    }

    private createHeaders(known: TrackedInstance): string[] {
        const { context, request, admitted } = this.options;
        return context.protocol.encodeCall(request.rawHeaders, {
            remainingMs: Math.max(1, Math.floor(this.computeRemainingMs())),
            instanceId: known.instance.id,
            accountName: admitted.account?.name,
            priority: admitted.account?.priority ?? admitted.route.priority,
            resumeAfterEventId: this.answerRelay.lastEventId,
        });
    }

    private *followExchange(known: TrackedInstance, exchange: UpstreamExchange): Task<AttemptResult> {
        const { context, admitted } = this.options;
        const start = yield* this.waitForHead(known, exchange);
        if (start === "silent") {
            this.recorder.recordRun(exchange.isSent);
            context.instances.markEjected(known, "it gave no sign of an answer");
            return { kind: "failed", isSent: exchange.isSent, isNotRun: !exchange.isSent, message: "silent" };
        }
        if (typeof start === "string") {
            this.recorder.recordRun(exchange.isSent);
            return { kind: "interrupted", by: start };
        }
        if (start.kind === "failed") {
            this.recorder.recordRun(start.isSent);
            context.instances.markEjected(known, start.message);
            return { kind: "failed", isSent: start.isSent, isNotRun: !start.isSent, message: start.message };
        }
        const { head } = start;
        known.lastReceivedMs = context.clock.readMonotonicMs();
        const marks = context.protocol.decodeResponse(head.status, head.headers);
        if (marks.requestId !== undefined && marks.requestId !== admitted.metadata.requestId) {
            this.recorder.recordRun(true);
            return {
                kind: "failed",
                isSent: true,
                isNotRun: false,
                message: "the answer is another request's",
            };
        }
        if (marks.isNotRun) {
            yield* this.answerRelay.collectBody(exchange);
            return { kind: "failed", isSent: true, isNotRun: true, message: `refused with ${head.status}` };
        }
        this.recorder.recordRun(true);
        return yield* this.answerRelay.relay(known, exchange, head);
    }

    /** Waits for the head of the answer, the request's end, or until another upstream is the better choice. */
    private *waitForHead(known: TrackedInstance, exchange: UpstreamExchange): Task<ResponseStartOutcome> {
        const { context, admitted } = this.options;
        const { retryRule, targetLatencyMs, maxRuns } = admitted.route;
        const mayRunAgain = this.recorder.trace.runs + 1 < maxRuns;
        const sentMs = context.clock.readMonotonicMs();
        return yield* waitForResponseStart({
            exchange,
            interrupt: this.interrupt,
            clock: context.clock,
            failoverDelayMs: computeFailoverDelayMs({ retryRule, targetLatencyMs, mayRunAgain }),
            mayFailOver: () => this.isSilent(known, sentMs) && this.hasAlternative(known),
        });
    }

    /** Whether nothing was heard of an upstream since a call was sent; a busy engine is slow but not silent. */
    private isSilent(known: TrackedInstance, sentMs: number): boolean {
        return this.options.admitted.route.retryRule === retryRules.repeatable
            || known.lastReceivedMs < sentMs;
    }

    private hasAlternative(known: TrackedInstance): boolean {
        const { context, admitted } = this.options;
        return context.retryBudgets.get(admitted.service).hasRetry()
            && context.instances.listUsable(admitted.service).some(other =>
                other !== known && !this.tried.has(other.instance.id)
            );
    }

    /** Ends a request for which no upstream's answer was delivered whole. */
    private endUnanswered(
        result: Exclude<AttemptResult, { kind: "answered"; }>,
    ): "answered" | "left" | "broken" {
        const { response } = this.options;
        this.endReason = result.kind === "interrupted" ? result.by : result.message;
        if (result.kind === "interrupted" && result.by === "left") {
            return "left";
        }
        if (response.headersSent) {
            response.destroy();
            return "broken";
        }
        if (result.kind === "failed" && result.answer) {
            this.answerRelay.sendBuffered(result.answer.head, result.answer.body);
            return "answered";
        }
        throw this.createFailure(result);
    }

    private createFailure(result: Exclude<AttemptResult, { kind: "answered"; }>): FailureError {
        const isTimeout = result.kind === "interrupted";
        const message = isTimeout ? "the request's time is over" : result.message;
        if (this.recorder.trace.runs === 0) {
            const code = isTimeout ? resultCodes.deadlineUnreachable : resultCodes.noRunner;
            return new FailureError(createFailure(code, message, { retryAfterMs: fullRetryAfterMs }));
        }
        return new FailureError(
            createFailure(isTimeout ? resultCodes.deadlinePassed : resultCodes.upstreamFailed, message),
        );
    }

    private computeRemainingMs(): number {
        return this.endsMs - this.options.context.clock.readMonotonicMs();
    }

    private giveBackQuota(): void {
        const { context, admitted } = this.options;
        if (this.recorder.trace.runs === 0 && admitted.account) {
            context.quotas.release(admitted.account.name, admitted.quotaCost);
        }
    }

    private reportFailedSend(
        known: TrackedInstance,
        result: FailedAttemptResult,
        next: string,
    ): void {
        const { context, admitted } = this.options;
        context.events.emit(eventKinds.attemptEnded, {
            requestId: admitted.metadata.requestId,
            upstream: known.instance.id,
            service: admitted.service,
            reason: result.message,
            isSent: result.isSent,
            isNotRun: result.isNotRun,
            sends: this.recorder.trace.sends,
            runs: this.recorder.trace.runs,
            remainingMs: Math.round(this.computeRemainingMs()),
            next,
        });
    }
}

const toSendOutcome = (result: AttemptResult): string =>
    result.kind === "failed" && !result.isSent ? "unreachable" : result.kind;
