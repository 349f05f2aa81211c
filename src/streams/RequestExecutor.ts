import { abortReason } from "../_lib/abortReason";
import type { Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import { hashPromptBlocks } from "../routing/PrefixIndex";
import type { DispatchRequest } from "../routing/Dispatcher";
import { eventKinds } from "../telemetry/eventKinds";
import type { Runner } from "../upstreams/Runner";
import { Attempt } from "./Attempt";
import type { ChatBody } from "./chatBodySchema";
import type { ChatRequestsOptions } from "./ChatRequestsOptions";
import { extractPromptText } from "./extractPromptText";
import type { RecoveryPolicy } from "./RecoveryPolicy";
import type { RequestRecord } from "./RequestRecord";
import { ResumeRecovery } from "./ResumeRecovery";
import type { AttemptOutcome, RunningAttempt } from "./types";

const charactersPerToken = 4;
const defaultExpectedTokens = 256;
const timeoutFactor = 4; // a request fails after this multiple of its class's target for the whole answer
const minTimeoutMs = 30_000; // but not before this time
const maxAttempts = 16;
const maxBrokenStarts = 3; // the request may be what breaks the runners
const brokenStartMs = 500;
const firstRetryBackoffMs = 50;
const maxRetryBackoffMs = 1_000;
const firstTokenWaitShare = 0.75; // part of the first-token target for queueing; the rest is for the prefill
const frozenPollMs = 20;
const maxLeavingMs = 1_000; // new work reaches a leaving runner at most this long after it began to leave

/** Runs requests: chooses a runner for each attempt and continues until the answer is complete. */
export class RequestExecutor {
    /** Moving average of the tokens produced by an attempt, by service. */
    private readonly meanAnswerTokens = new Map<string, number>();
    private readonly recoveryPolicy: RecoveryPolicy;

    constructor(private readonly options: ChatRequestsOptions) {
        this.recoveryPolicy = options.recoveryPolicy ?? new ResumeRecovery();
    }

    /**
     * Runs a request until its answer is complete, it is cancelled or handed over, or it cannot be answered.
     *
     * @param record - the request
     * @param signal - aborts when the node stops
     * @throws FailureError when it cannot be answered
     */
    *run(record: RequestRecord, signal: AbortSignal): Task<void> {
        const body = record.description.body as ChatBody;
        const prompt = extractPromptText(body);
        const blocks = hashPromptBlocks(prompt);
        const excludedRunnerIds = new Set<string>();
        const budget = this.options.dispatchers.getRetryBudget(record.description.service);
        budget.countRequest();
        while (!record.hasEnded && !signal.aborted && !record.log.isComplete) {
            if (record.isFrozen) {
                yield* waitFor(this.options.clock.sleep(frozenPollMs, signal));
                continue;
            }
            const runner = yield* this.acquireRunner(record, prompt, blocks, excludedRunnerIds, signal);
            if (record.hasEnded || signal.aborted) {
                runner?.recordEnded();
                return;
            }
            if (!runner) {
                continue;
            }
            const outcome = yield* this.runAttempt(record, runner, prompt, blocks);
            if (outcome.kind === "ended" || outcome.kind === "cancelled") {
                return;
            }
            excludedRunnerIds.clear();
            if (outcome.kind !== "moved") {
                excludedRunnerIds.add(runner.id);
                yield* this.prepareRetry(record, outcome);
            }
        }
    }

    private *acquireRunner(
        record: RequestRecord,
        prompt: string,
        blocks: readonly string[],
        excludedRunnerIds: ReadonlySet<string>,
        signal: AbortSignal,
    ): Task<Runner | undefined> {
        const preferred = record.preferredRunner;
        record.preferredRunner = undefined;
        if (preferred && !preferred.isLeaving) {
            preferred.recordSent();
            return preferred;
        }
        const { description } = record;
        const { latency, urgency } = description.workClass;
        const dispatcher = this.options.dispatchers.getDispatcher(description.service);
        const stopWaiting = new AbortController();
        const stop = (): void => stopWaiting.abort(abortReason);
        signal.addEventListener("abort", stop);
        const ended = record.waitForEnd().then(() => {
            stop();
            return undefined;
        });
        const usableCount = this.options.registry.listUsable(description.service).length;
        const request: DispatchRequest = {
            accountId: description.accountId,
            urgency,
            bytes: prompt.length,
            promptBlocks: blocks,
            promptTokens: Math.ceil(prompt.length / charactersPerToken),
            expectedTokens: this.estimateTokens(record),
            firstTokenTargetMs: latency.firstTokenMs,
            betweenTokensTargetMs: latency.betweenTokensMs,
            maxWaitMs: urgency === "interactive"
                ? latency.firstTokenMs * firstTokenWaitShare
                : latency.wholeMs,
            excludedRunnerIds: usableCount > excludedRunnerIds.size ? excludedRunnerIds : new Set(),
            isAccepted: record.attemptCount > 0 || record.log.nextOffset > 0 || description.isKept,
        };
        try {
            const runnerId = yield* waitFor(
                Promise.race([dispatcher.acquire(request, stopWaiting.signal), ended]),
            );
            return runnerId === undefined ? undefined : this.options.registry.find(runnerId);
        }
        finally {
            signal.removeEventListener("abort", stop);
        }
    }

    private *runAttempt(
        record: RequestRecord,
        runner: Runner,
        prompt: string,
        blocks: readonly string[],
    ): Task<AttemptOutcome> {
        const { clock, events, invariants, registry } = this.options;
        const leavingForMs = runner.isLeaving ? clock.readMonotonicMs() - runner.leavingSinceMs! : 0;
        invariants.assert(
            "no-new-work-to-a-leaving-runner",
            leavingForMs <= maxLeavingMs,
            () => `runner "${runner.id}" has been leaving for ${Math.round(leavingForMs)} ms`,
        );
        record.attemptCount += 1;
        record.state = "running";
        const attempt = new Attempt({
            number: record.attemptCount,
            record,
            runner,
            clock,
            onFrameDropped: reason => events.emit(eventKinds.frameDropped, { requestId: record.id, reason }),
        });
        record.currentAttempt = attempt;
        const runnerLoad = runner.estimatedLoad;
        events.emit(eventKinds.attemptStarted, {
            requestId: record.id,
            runner: runner.id,
            attempt: attempt.number,
        });
        attempt.stream = runner.client.engine!.start({
            requestId: record.id,
            attempt: attempt.number,
            attemptId: `${this.options.nodeId}:${record.id}:${attempt.number}`,
            body: record.description.body,
            ...this.recoveryPolicy.computeRecoveryPoint(record),
            priority: record.description.workClass.urgency === "interactive" ? 0 : 1,
        }, attempt);
        const outcome = yield* waitFor(attempt.outcome);
        runner.recordEnded();
        if (outcome.kind === "ended") {
            record.log.complete();
            registry.ejections.recordSuccess(runner.id);
            registry.prefixes.add(runner.id, blocks);
            this.updateEstimates(record, attempt, runnerLoad, prompt);
        }
        this.options.dispatchers.getDispatcher(record.description.service).dispatchQueued();
        return outcome;
    }

    private *prepareRetry(
        record: RequestRecord,
        outcome: Extract<AttemptOutcome, { kind: "failed" | "silent"; }>,
    ): Task<void> {
        const { events, registry, clock } = this.options;
        const message = outcome.kind === "silent"
            ? "the runner stopped sending events"
            : outcome.error.message;
        const { runner } = record.currentAttempt!;
        record.brokenStarts = this.hasBrokenAtStart(record.currentAttempt!, outcome)
            ? record.brokenStarts + 1
            : 0;
        events.emit(eventKinds.attemptFailed, { requestId: record.id, runner: runner.id, message });
        if (outcome.kind === "failed" && outcome.error.kind === "bad-request") {
            throw new FailureError(createFailure(resultCodes.upstreamRefused, message));
        }
        const runnerCount = registry.listRunners(record.description.service).length;
        if (registry.ejections.recordFailure(runner.id, runnerCount)) {
            events.emit(eventKinds.runnerEjected, { runner: runner.id });
        }
        this.throwIfExhausted(record, message);
        const budget = this.options.dispatchers.getRetryBudget(record.description.service);
        let backoffMs = firstRetryBackoffMs;
        while (!budget.takeRetry()) {
            yield* waitFor(clock.sleep(backoffMs));
            backoffMs = Math.min(maxRetryBackoffMs, backoffMs * 2);
            this.throwIfExhausted(record, message);
            budget.countRequest();
        }
    }

    /** Whether the answer of a failed attempt broke off as soon as it had begun. */
    private hasBrokenAtStart(
        { firstBatchAtMs }: RunningAttempt,
        outcome: Extract<AttemptOutcome, { kind: "failed" | "silent"; }>,
    ): boolean {
        const nowMs = this.options.clock.readMonotonicMs();
        return outcome.kind === "failed" && outcome.error.kind === "cut"
            && nowMs - (firstBatchAtMs ?? nowMs) < brokenStartMs;
    }

    /**
     * Fails a request that has exceeded its time limit or its number of attempts, unless it is kept until answered, and
     * any request under which runners break off one after the other.
     */
    private throwIfExhausted(record: RequestRecord, message: string): void {
        const { acceptedAtMs, isKept, workClass } = record.description;
        const limitMs = Math.max(minTimeoutMs, workClass.latency.wholeMs * timeoutFactor);
        const isLate = this.options.clock.readWallMs() - acceptedAtMs > limitMs;
        const isExhausted = !isKept && (isLate || record.attemptCount >= maxAttempts);
        if (isExhausted || record.brokenStarts >= maxBrokenStarts) {
            const text = `request "${record.id}" failed after ${record.attemptCount} attempts: ${message}`;
            throw new FailureError(createFailure(resultCodes.upstreamFailed, text));
        }
    }

    private updateEstimates(
        record: RequestRecord,
        attempt: Attempt,
        runnerLoad: number,
        prompt: string,
    ): void {
        if (attempt.firstBatchAtMs === undefined) {
            return;
        }
        const { latency } = attempt.runner;
        const tokens = record.log.nextOffset - attempt.firstOffset;
        const nowMs = this.options.clock.readMonotonicMs();
        if (runnerLoad <= attempt.runner.slots) {
            latency.learnPrefill(
                prompt.length / charactersPerToken,
                attempt.firstBatchAtMs - attempt.startedAtMs,
            );
        }
        latency.learnDecode(runnerLoad, tokens, nowMs - attempt.firstBatchAtMs);
        latency.learnService(nowMs - attempt.startedAtMs);
        const { service } = record.description;
        const mean = this.meanAnswerTokens.get(service) ?? tokens;
        this.meanAnswerTokens.set(service, mean + 0.1 * (tokens - mean));
    }

    private estimateTokens(record: RequestRecord): number {
        const { body, service } = record.description;
        const limit = (body.max_completion_tokens ?? body.max_tokens ?? Infinity) as number;
        return Math.min(limit, this.meanAnswerTokens.get(service) ?? defaultExpectedTokens);
    }
}
