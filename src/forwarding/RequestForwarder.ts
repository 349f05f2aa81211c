import type { IncomingMessage, ServerResponse } from "node:http";
import { waitForPendingInput } from "../_lib/waitForPendingInput";
import { abortResponse } from "../http/abortResponse";
import type { Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { waitWithTimeout } from "../kernel/waitWithTimeout";
import type { TrackedInstance } from "../placement/createTrackedInstance";
import type { UpstreamExchange } from "../upstreams/UpstreamExchange";
import type { AdmittedRequest } from "./admitRequest";
import { AttemptAccounts } from "./AttemptAccounts";
import { ResponseRelay } from "./ResponseRelay";
import { StreamBinding } from "./StreamBinding";
import { computeFailoverDelayMs } from "./computeFailoverDelayMs";
import { computeDeadlineMs } from "./computeDeadlineMs";
import { createAffinityKey } from "./createAffinityKey";
import { createFinalFailure } from "./createFinalFailure";
import { createUnsentResult } from "./createUnsentResult";
import { DispatchCheck } from "./DispatchCheck";
import type { ForwardContext } from "./ForwardContext";
import { ForwardRecorder } from "./ForwardRecorder";
import { findStrayReason } from "./findStrayReason";
import { ForwardTraits } from "./ForwardTraits";
import { isEventStream } from "./isEventStream";
import { CrashWatch } from "./CrashWatch";
import { RequestInterrupt } from "./RequestInterrupt";
import { minRemainingMs, RetryPlanner } from "./RetryPlanner";
import type { AttemptResult, FailedAttemptResult, ResponseMetadata } from "./types";
import { UpstreamSelection } from "./UpstreamSelection";
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

const maxResumeTries = 8; // together 1.2 s; callers abandon a stream that is silent for 2 s or more
const resumePauseMs = 150;

/**
 * Forwards one admitted request to an upstream and relays the answer. Retries on other upstreams where the retry rule
 * of the route and the retry budget allow it.
 */
export class RequestForwarder {
    readonly recorder: ForwardRecorder;
    /** Reason why the request ended without a complete answer, for its log line. */
    endReason: string | undefined;
    private readonly interrupt: RequestInterrupt;
    private readonly responseRelay: ResponseRelay;
    private readonly deadlineMs: number;
    private readonly binding: StreamBinding;
    private readonly selection: UpstreamSelection;
    private readonly traits: ForwardTraits;
    private readonly crashWatch: CrashWatch;
    private readonly retryPlanner: RetryPlanner;
    private readonly accounts: AttemptAccounts;
    private readonly dispatchCheck: DispatchCheck;

    constructor(private readonly options: RequestForwarderOptions) {
        const { context, admitted, arrivedMs } = options;
        this.deadlineMs = computeDeadlineMs(admitted, arrivedMs);
        const { clock, quarantine, plannedStop } = context;
        const { request, response, body } = options;
        const { sharedParts: partIds, metadata } = admitted;
        this.traits = new ForwardTraits({ request, body, accountName: admitted.account?.name, partIds });
        this.crashWatch = new CrashWatch({ clock, quarantine, traits: this.traits, metadata });
        const { service, origin } = admitted;
        const { instances, placement } = context;
        this.binding = new StreamBinding({ instances, service, origin });
        const versions = context.rollouts.chooseVersions(service, admitted.route.name);
        this.selection = new UpstreamSelection({
            instances,
            placement,
            service,
            affinityKey: createAffinityKey(admitted.metadata.promptParts),
            binding: this.binding,
            versions,
            findSuspect: () => this.crashWatch.findSuspect(),
        });
        this.recorder = new ForwardRecorder(options);
        this.accounts = new AttemptAccounts({
            context,
            admitted,
            versions,
            recorder: this.recorder,
            readLastEventId: () => this.responseRelay.lastEventId,
        });
        const { deadlineMs, binding, crashWatch, selection, recorder } = this;
        const interrupt = new RequestInterrupt({ response, clock, deadlineMs, plannedStop });
        this.interrupt = interrupt;
        const hasBegun = (): boolean => response.headersSent;
        const checked = { instances, interrupt, crashWatch, binding, plannedStop, deadlineMs, hasBegun };
        this.dispatchCheck = new DispatchCheck(checked);
        this.retryPlanner = new RetryPlanner({
            context,
            admitted,
            recorder,
            selection,
            binding,
            crashWatch,
            dispatchCheck: this.dispatchCheck,
            readRemainingMs: () => this.computeRemainingMs(),
        });
        const memory = context.answerMemory.hold();
        this.responseRelay = new ResponseRelay({
            clock: context.clock,
            request,
            response,
            admitted,
            recorder,
            interrupt,
            crashWatch,
            binding,
            onFirstEvent: () => this.accounts.observeFirstEvent(),
            isResumableElsewhere: (upstream, idleMs) =>
                this.retryPlanner.isResumableElsewhere(upstream, idleMs),
            memory,
        });
        options.response.on("close", memory.release);
    }

    /** Name of the service that the request is forwarded to. */
    get service(): string {
        return this.options.admitted.service;
    }

    /** Whether the upstream chosen last began an answer. */
    get hasBegun(): boolean {
        return this.crashWatch.hasBegun;
    }

    /**
     * Forwards the request and relays the answer.
     *
     * @returns "answered" if a complete answer was relayed, "left" if the caller disconnected, "broken" if the response
     * was aborted after its headers had been sent
     * @throws FailureError if there is no answer to relay and no header has been sent; the node then answers itself
     */
    *run(): Task<"answered" | "left" | "broken"> {
        try {
            const result = yield* this.sendWithRetries();
            if (result.kind === "answered") {
                return "answered";
            }
            return this.endUnanswered(result);
        }
        finally {
            this.interrupt.close();
            this.releaseQuota();
            this.abortBegunResponse();
        }
    }

    private *sendWithRetries(): Task<AttemptResult> {
        this.options.context.retryBudgets.get(this.service).countRequest();
        yield* waitFor(waitForPendingInput());
        for (;;) {
            const refusal = this.dispatchCheck.findRefusal();
            if (refusal) {
                return refusal;
            }
            const upstream = this.chooseUpstream() ?? (yield* this.waitForUpstream());
            if (!upstream) {
                return createUnsentResult("no untried upstream of the service is available");
            }
            const result = yield* this.send(upstream);
            if (result.kind !== "failed") {
                return result;
            }
            const next = this.retryPlanner.decideNext(result, upstream);
            this.recorder.reportFailedAttempt({
                upstream: upstream.instance,
                result,
                next,
                lastEventId: this.responseRelay.lastEventId,
                requestKey: this.traits.identity,
                hasBegun: this.hasBegun,
                remainingMs: this.computeRemainingMs(),
            });
            if (next === "stop" || this.computeRemainingMs() < minRemainingMs) {
                return result;
            }
            if (next === "wait-for-retry") {
                yield* this.waitForRetry(result, upstream);
            }
        }
    }

    /** Waits until a retry is left in the budget, and takes it. Returns early if the request is interrupted. */
    private *waitForRetry(result: FailedAttemptResult, upstream: TrackedInstance): Task<void> {
        const { clock } = this.options.context;
        const promises = [this.interrupt.interrupted];
        do {
            yield* waitFor(waitWithTimeout({ clock, promises, timeoutMs: resumePauseMs }));
        }
        while (!this.interrupt.read() && !this.retryPlanner.takeRetry(result, upstream));
    }

    /**
     * Polls for an upstream on which a stream that has already begun can be resumed. Returns undefined without waiting
     * for any other request, and where no upstream of the version that began the stream is left.
     */
    private *waitForUpstream(): Task<TrackedInstance | undefined> {
        const { context, response } = this.options;
        const isWaiting = (): boolean => response.headersSent && !this.binding.isGone();
        for (let tries = 0; isWaiting() && tries < maxResumeTries; tries += 1) {
            const promises = [this.interrupt.interrupted];
            if (
                yield* waitFor(
                    waitWithTimeout({ clock: context.clock, promises, timeoutMs: resumePauseMs }),
                )
            ) {
                return undefined;
            }
            this.selection.clearTried();
            const upstream = this.chooseUpstream();
            if (upstream) {
                return upstream;
            }
        }
        return undefined;
    }

    /** Chooses an upstream; for a stream that has begun, one with room if there is one. */
    private chooseUpstream(): TrackedInstance | undefined {
        const selected = this.selection.choose({ prefersRoom: this.options.response.headersSent });
        this.recorder.trace.upstreamLoad = selected?.load;
        return selected?.upstream;
    }

    private *send(upstream: TrackedInstance): Task<AttemptResult> {
        const { context, request, body } = this.options;
        this.recorder.trace.sends += 1;
        this.recorder.trace.upstream = upstream.instance.id;
        this.recorder.trace.softwareVersion = upstream.instance.softwareVersion;
        this.crashWatch.beginAttempt();
        this.selection.markTried(upstream);
        context.instances.renewSilent(upstream);
        const sentMs = context.clock.readMonotonicMs();
        const exchange = upstream.client.send({
            method: request.method!,
            path: request.url!,
            headers: this.createHeaders(upstream),
            body: body.length > 0 ? body : undefined,
            isWanted: isConfirmed => this.dispatchCheck.isWanted(upstream, isConfirmed),
        });
        context.instances.beginRequest(upstream);
        this.accounts.begin(upstream);
        let result: AttemptResult | undefined;
        try {
            result = yield* this.receiveAnswer(upstream, exchange, sentMs);
            this.recorder.recordAttempt(toAttemptOutcome(result));
            this.crashWatch.endAttempt(upstream, result, this.recorder.trace.status);
            return result;
        }
        finally {
            exchange.abort("the attempt has ended");
            this.accounts.end(result, exchange.isSent);
            const isUnanswered = exchange.isSent && isGivenUp(result);
            context.instances.endRequest(upstream, isUnanswered ? sentMs : undefined);
        }
    }

    private createHeaders(upstream: TrackedInstance): string[] {
        const { context, request, admitted } = this.options;
        return context.protocol.encodeCall(request.rawHeaders, {
            remainingMs: Math.max(1, Math.floor(this.computeRemainingMs())),
            instanceId: upstream.instance.id,
            accountName: admitted.account?.name,
            priority: admitted.account?.priority ?? admitted.route.priority,
            resumeAfterEventId: this.responseRelay.lastEventId,
        });
    }

    private *receiveAnswer(
        upstream: TrackedInstance,
        exchange: UpstreamExchange,
        sentMs: number,
    ): Task<AttemptResult> {
        const { context, admitted } = this.options;
        const start = yield* this.waitForHead(upstream, exchange);
        if (start === "silent") {
            this.recorder.recordRun(exchange.isSent);
            context.instances.eject(upstream, "no answer within the failover delay");
            return {
                kind: "failed",
                isSent: exchange.isSent,
                isNotRun: !exchange.isSent,
                isSilent: true,
                message: "no answer within the failover delay",
            };
        }
        if (typeof start === "string") {
            this.recorder.recordRun(exchange.isSent);
            return { kind: "interrupted", by: start };
        }
        const unsent = start.kind === "failed" && !start.isSent && this.dispatchCheck.findUnsentResult();
        if (unsent) {
            return unsent;
        }
        if (start.kind === "failed") {
            this.recorder.recordRun(start.isSent);
            context.instances.eject(upstream, start.message);
            return { kind: "failed", isSent: start.isSent, isNotRun: !start.isSent, message: start.message };
        }
        const { head } = start;
        upstream.lastReceivedMs = context.clock.readMonotonicMs();
        this.crashWatch.observeData(upstream);
        const metadata = context.protocol.decodeResponse(head.status, head.headers);
        this.applyStatements(upstream, metadata);
        const strayReason = findStrayReason(metadata, admitted.metadata);
        if (strayReason !== undefined) {
            exchange.dropConnection(strayReason);
            this.recorder.recordRun(true);
            return { kind: "failed", isSent: true, isNotRun: false, message: strayReason };
        }
        upstream.answeredSentMs = Math.max(upstream.answeredSentMs, sentMs);
        if (metadata.isNotRun) {
            yield* this.responseRelay.drainRefusal(exchange);
            return {
                kind: "failed",
                isSent: true,
                isNotRun: true,
                message: `upstream refused the request with status ${head.status}`,
            };
        }
        this.recorder.recordRun(true);
        this.crashWatch.observeAnswer();
        if (admitted.route.isStream && isEventStream(head)) {
            const { softwareVersion } = upstream.instance;
            const isKnown = this.dispatchCheck.isVersionKnown(exchange.isConfirmed);
            this.binding.adopt({ softwareVersion: isKnown ? softwareVersion : undefined });
        }
        return yield* this.responseRelay.relay(upstream, exchange, head);
    }

    /** Applies what an upstream states about itself in an answer, before the answer is passed on. */
    private applyStatements(upstream: TrackedInstance, metadata: ResponseMetadata): void {
        const { instances } = this.options.context;
        if (metadata.isLeaving) {
            instances.markLeaving(upstream);
        }
        if (metadata.refusesForMs !== undefined) {
            instances.recordRefusal(upstream, metadata.refusesForMs);
        }
        instances.recordLimit(upstream, metadata.limitPerS);
        instances.recordBrittle(upstream, metadata.turnedAwayPerS);
        if (metadata.isNotRun) {
            instances.recordTurnedAway(upstream);
        }
    }

    /** Waits for the head of the answer, the end of the request, or the decision to fail over to another upstream. */
    private *waitForHead(upstream: TrackedInstance, exchange: UpstreamExchange): Task<ResponseStartOutcome> {
        const { context, admitted } = this.options;
        const { retryRule, targetLatencyMs, maxRuns } = admitted.route;
        const mayRunAgain = this.recorder.trace.runs + 1 < maxRuns; // the present run has not been recorded yet
        const sentMs = context.clock.readMonotonicMs();
        return yield* waitForResponseStart({
            exchange,
            interrupt: this.interrupt,
            clock: context.clock,
            failoverDelayMs: computeFailoverDelayMs({ retryRule, targetLatencyMs, mayRunAgain }),
            mayFailOver: () => this.retryPlanner.isFailoverAllowed(upstream, sentMs),
        });
    }

    /**
     * Ends a request for which no complete answer was delivered: passes on the upstream's own error answer, if there is
     * one. A response that has begun is aborted by {@link abortBegunResponse}.
     */
    private endUnanswered(
        result: Exclude<AttemptResult, { kind: "answered"; }>,
    ): "answered" | "left" | "broken" {
        const { response } = this.options;
        this.endReason = result.kind === "interrupted" ? result.by : result.message;
        if (result.kind === "interrupted" && result.by === "left") {
            return "left";
        }
        if (response.headersSent) {
            return "broken";
        }
        if (result.kind === "failed" && result.answer) {
            this.responseRelay.sendBuffered(result.answer.head, result.answer.body);
            return "answered";
        }
        throw createFinalFailure({
            result,
            runs: this.recorder.trace.runs,
            binding: this.binding,
            isAllowedByStop: this.dispatchCheck.isAllowedByStop(),
            readQuarantinedMs: () => this.crashWatch.readQuarantinedMs(),
            readRefusalMs: () => this.options.context.instances.readRefusalMs(this.service),
        });
    }

    private computeRemainingMs(): number {
        return this.deadlineMs - this.options.context.clock.readMonotonicMs();
    }

    /** Ends a response that has begun and is not complete, as when the node stops. */
    private abortBegunResponse(): void {
        if (this.options.response.headersSent) {
            abortResponse(this.options.response);
        }
    }

    private releaseQuota(): void {
        if (this.recorder.trace.runs === 0) {
            this.options.admitted.releaseQuota();
        }
    }
}

/** Whether an attempt was ended by this node, and not by its upstream; undefined if it was cut. */
const isGivenUp = (result: AttemptResult | undefined): boolean =>
    result === undefined || result.kind === "interrupted"
    || (result.kind === "failed" && (result.isSilent === true || result.isIdle === true));

const toAttemptOutcome = (result: AttemptResult): string =>
    result.kind === "failed" && !result.isSent ? "unreachable" : result.kind;
