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
import { Attempt, type AttemptOutcome } from "./Attempt";
import type { ChatBody } from "./chatBodySchema";
import type { ChatRequestsOptions } from "./ChatRequests";
import { extractPromptText } from "./extractPromptText";
import type { RecoveryPolicy } from "./RecoveryPolicy";
import type { RequestRecord } from "./RequestRecord";
import { ResumeRecovery } from "./ResumeRecovery";

const charactersPerToken = 4;
const defaultExpectedTokens = 256;
const giveUpFactor = 4; // a request ends after this many times its class's time to the whole answer
const shortestGiveUpMs = 30_000;
const maxAttempts = 16;
const firstRetryPauseMs = 50;
const maxRetryPauseMs = 1_000;
const waitShare = 0.75; // of the target for the first token; the rest is for the prefill
const frozenPauseMs = 20;
const leavingBoundMs = 1_000; // a leaving runner gets no new work later than this

/** Runs one request: chooses runners and goes on until the answer is whole. */
export class RequestExecutor {
    private readonly meanTokens = new Map<string, number>();

    private readonly recovery: RecoveryPolicy;

    constructor(private readonly options: ChatRequestsOptions) {
        this.recovery = options.recoveryPolicy ?? new ResumeRecovery();
    }

    /**
     * Runs a request until its answer is whole, it was ended from outside, or it cannot be answered.
     *
     * @param record - the request
     * @param signal - aborts when the node stops
     * @throws FailureError when it cannot be answered
     */
    *run(record: RequestRecord, signal: AbortSignal): Task<void> {
        const body = record.description.body as ChatBody;
        const prompt = extractPromptText(body);
        const blocks = hashPromptBlocks(prompt);
        const excluded = new Set<string>();
        const budget = this.options.dispatchers.getRetryBudget(record.description.service);
        budget.earn();
        while (!record.hasEnded && !signal.aborted && !record.log.isComplete) {
            if (record.isFrozen) {
                yield* waitFor(this.options.clock.sleep(frozenPauseMs, signal));
                continue;
            }
            const runner = yield* this.acquireRunner(record, prompt, blocks, excluded, signal);
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
            excluded.clear();
            if (outcome.kind !== "moved") {
                excluded.add(runner.id);
                yield* this.prepareRetry(record, outcome);
            }
        }
    }

    private *acquireRunner(
        record: RequestRecord,
        prompt: string,
        blocks: readonly string[],
        excluded: ReadonlySet<string>,
        signal: AbortSignal,
    ): Task<Runner | undefined> {
        const planned = record.preferredRunner;
        record.preferredRunner = undefined;
        if (planned && !planned.isLeaving) {
            planned.recordSent();
            return planned;
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
        const usable = this.options.registry.listUsable(description.service).length;
        const request: DispatchRequest = {
            accountId: description.accountId,
            urgency,
            bytes: prompt.length,
            promptBlocks: blocks,
            promptTokens: Math.ceil(prompt.length / charactersPerToken),
            expectedTokens: this.expectTokens(record),
            firstTokenMs: latency.firstTokenMs,
            betweenTokensMs: latency.betweenTokensMs,
            maxWaitMs: urgency === "interactive" ? latency.firstTokenMs * waitShare : latency.wholeMs,
            excluded: usable > excluded.size ? excluded : new Set(),
            accepted: record.attemptCount > 0 || record.log.nextOffset > 0 || description.isKept,
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
            leavingForMs <= leavingBoundMs,
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
        const runningThere = runner.estimatedLoad;
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
            ...this.recovery.computeRecoveryPoint(record),
            priority: record.description.workClass.urgency === "interactive" ? 0 : 1,
        }, attempt);
        const outcome = yield* waitFor(attempt.outcome);
        runner.recordEnded();
        if (outcome.kind === "ended") {
            record.log.complete();
            registry.ejections.recordSuccess(runner.id);
            registry.prefixes.add(runner.id, blocks);
            this.learn(record, attempt, runningThere, prompt);
        }
        this.options.dispatchers.getDispatcher(record.description.service).pump();
        return outcome;
    }

    private *prepareRetry(
        record: RequestRecord,
        outcome: Extract<AttemptOutcome, { kind: "failed" | "silent"; }>,
    ): Task<void> {
        const { events, registry, clock } = this.options;
        const message = outcome.kind === "silent" ? "the runner went silent" : outcome.error.message;
        const runner = record.currentAttempt!.runner;
        events.emit(eventKinds.attemptFailed, { requestId: record.id, runner: runner.id, message });
        if (outcome.kind === "failed" && outcome.error.kind === "bad-request") {
            throw new FailureError(createFailure(resultCodes.upstreamRefused, message));
        }
        const runnerCount = registry.listRunners(record.description.service).length;
        if (registry.ejections.recordFailure(runner.id, runnerCount)) {
            events.emit(eventKinds.runnerEjected, { runner: runner.id });
        }
        this.throwWhenHopeless(record, message);
        const budget = this.options.dispatchers.getRetryBudget(record.description.service);
        let pauseMs = firstRetryPauseMs;
        while (!budget.take()) {
            yield* waitFor(clock.sleep(pauseMs));
            pauseMs = Math.min(maxRetryPauseMs, pauseMs * 2);
            this.throwWhenHopeless(record, message);
            budget.earn();
        }
    }

    /** Gives up on a request that is far past its target; a kept one goes on until it is answered. */
    private throwWhenHopeless(record: RequestRecord, message: string): void {
        const { acceptedAtMs, isKept, workClass } = record.description;
        const limitMs = Math.max(shortestGiveUpMs, workClass.latency.wholeMs * giveUpFactor);
        const late = this.options.clock.readWallMs() - acceptedAtMs > limitMs;
        if (!isKept && (late || record.attemptCount >= maxAttempts)) {
            const text = `request "${record.id}" failed after ${record.attemptCount} attempts: ${message}`;
            throw new FailureError(createFailure(resultCodes.upstreamFailed, text));
        }
    }

    private learn(record: RequestRecord, attempt: Attempt, runningThere: number, prompt: string): void {
        if (attempt.firstBatchAtMs === undefined) {
            return;
        }
        const { latency } = attempt.runner;
        const tokens = record.log.nextOffset - attempt.firstOffset;
        const nowMs = this.options.clock.readMonotonicMs();
        if (runningThere <= attempt.runner.slots) {
            latency.learnPrefill(
                prompt.length / charactersPerToken,
                attempt.firstBatchAtMs - attempt.startedAtMs,
            );
        }
        latency.learnDecode(runningThere, tokens, nowMs - attempt.firstBatchAtMs);
        latency.learnService(nowMs - attempt.startedAtMs);
        const { service } = record.description;
        const mean = this.meanTokens.get(service) ?? tokens;
        this.meanTokens.set(service, mean + 0.1 * (tokens - mean));
    }

    private expectTokens(record: RequestRecord): number {
        const { body, service } = record.description;
        const limit = (body.max_completion_tokens ?? body.max_tokens ?? Infinity) as number;
        return Math.min(limit, this.meanTokens.get(service) ?? defaultExpectedTokens);
    }
}
