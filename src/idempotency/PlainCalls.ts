import { z } from "zod";
import { hashText } from "../_lib/hashText";
import { createServiceName } from "../kernel/createServiceName";
import { TaskScope } from "../kernel/TaskScope";
import type { Clock, RandomSource, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { waitWithTimeout } from "../kernel/waitWithTimeout";
import type { PeerNetwork } from "../peers/PeerNetwork";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import { RetryBudget } from "../retries/RetryBudget";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { Runner } from "../upstreams/Runner";
import type { PlainAnswer, PlainCall } from "../upstreams/types";
import type { UpstreamRegistry } from "../upstreams/UpstreamRegistry";
import type { SendRecords } from "./SendRecords";
import type { SendPermit } from "./SendPermit";
import type { RecordedAnswer, SendRecord } from "./types";

/** Options of {@link PlainCalls}. */
export interface PlainCallsOptions {
    readonly nodeId: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
    readonly network: Pick<PeerNetwork, "call" | "registerHandler">;
    readonly registry: Pick<UpstreamRegistry, "listUsable" | "listRunners" | "ejections">;
    readonly records: SendRecords;
    /** Calls that may be in flight to one service from this node; default 2,000. */
    readonly maxInFlight?: number;
}

/** A call of a client account to a plain service. */
export interface AccountCall {
    readonly accountId: string;
    readonly service: string;
    readonly call: PlainCall;
}

/** An answer for the caller. */
export interface CallResult {
    readonly answer: PlainAnswer;
    /** False when a retry may be told "unknown", because the answer could not be recorded. */
    readonly isRecorded: boolean;
    /** Whether it is the recorded answer of an earlier call. */
    readonly isReplayed: boolean;
}

const joinMethod = "calls.join";
const joinTimeoutMs = 10_000;
const defaultMaxInFlight = 2_000;
const maxRunnersTried = 3;
const retryAfterMs = 1_000;
const joinSchema = z.object({ recordKey: z.string() }).strict();

/** Sends calls to plain services: repeatable ones with retries, others at most once under a record. */
export class PlainCalls {
    private readonly running = new Map<string, Promise<CallResult>>();
    private readonly budgets = new Map<string, RetryBudget>();
    private readonly scope: TaskScope;
    private inFlight = 0;

    constructor(private readonly options: PlainCallsOptions) {
        this.scope = new TaskScope();
        options.network.registerHandler(joinMethod, payload => this.answerJoin(payload));
    }

    /** Number of calls in flight. */
    get inFlightCount(): number {
        return this.inFlight;
    }

    /**
     * Sends a call that may be repeated.
     *
     * @returns the answer
     * @throws FailureError when no runner answered
     */
    *runIdempotent(call: AccountCall): Task<CallResult> {
        return yield* this.count(call.service, this.tryRunners(call));
    }

    /**
     * Sends a call that must not be repeated, or joins the earlier one of the same key.
     *
     * @param call - the call
     * @param idempotencyKey - the caller's key
     * @returns the answer, new or recorded
     * @throws FailureError that tells truthfully whether the call has run
     */
    *runAtMostOnce(call: AccountCall, idempotencyKey: string): Task<CallResult> {
        const recordKey = `${call.accountId}/${call.service}/${hashText(idempotencyKey)}`;
        const digest = computeDigest(call.call);
        const joined = this.running.get(recordKey);
        if (joined) {
            yield* waitFor(joined.catch(() => {}));
            return yield* this.readExisting(recordKey, digest);
        }
        // The task outlives the caller's connection, so that its outcome is recorded in any case.
        const handle = this.scope.run(
            `call-${recordKey}`,
            () => this.count(call.service, this.sendOnce(call, recordKey, digest)),
        );
        const done = handle.done as Promise<CallResult>;
        this.running.set(recordKey, done);
        const forget = (): void => void this.running.delete(recordKey);
        done.then(forget, forget);
        return yield* waitFor(done);
    }

    private *sendOnce(call: AccountCall, recordKey: string, digest: string): Task<CallResult> {
        const claim = yield* this.options.records.claim(recordKey, digest);
        switch (claim.kind) {
            case "store-failed": {
                const message = "the call was not sent, because its record could not be written";
                throw new FailureError(
                    createFailure(resultCodes.storeUnavailable, message, { retryAfterMs }),
                );
            }
            case "exists":
                return yield* this.resolveExisting(recordKey, digest, claim.record);
            case "claimed":
                return yield* this.sendClaimed(call, claim.permit, digest);
        }
    }

    private *sendClaimed(call: AccountCall, right: SendPermit, digest: string): Task<CallResult> {
        const tried = new Set<string>();
        while (tried.size < maxRunnersTried) {
            const runner = this.pickRunner(call.service, tried);
            if (!runner) {
                break;
            }
            tried.add(runner.id);
            right.consume();
            this.options.events.emit(eventKinds.callSent, {
                key: right.key,
                runner: runner.id,
                attempt: right.attemptId,
            });
            const result = yield* this.sendTo(runner, call.call);
            if ("answer" in result) {
                const isRecorded = yield* this.options.records.recordAnswer(
                    right,
                    digest,
                    encodeAnswer(result.answer),
                );
                return { answer: result.answer, isRecorded, isReplayed: false };
            }
            if (result.failure.isSent) {
                this.options.events.emit(eventKinds.callUnknown, {
                    key: right.key,
                    message: result.failure.message,
                });
                yield* this.options.records.recordUnknown(right, digest);
                const message = `the call was sent and no answer came: ${result.failure.message}`;
                throw new FailureError(createFailure(resultCodes.callOutcomeUnknown, message));
            }
            right.restore();
        }
        yield* this.options.records.release(right);
        const message = `no runner of "${call.service}" could be reached; the call was not sent`;
        throw new FailureError(createFailure(resultCodes.noRunner, message, { retryAfterMs }));
    }

    private *readExisting(recordKey: string, digest: string): Task<CallResult> {
        let record: SendRecord | undefined;
        try {
            record = yield* waitFor(this.options.records.read(recordKey));
        }
        catch {
            const message = "the record of this Idempotency-Key cannot be read now";
            const options = { retryAfterMs, run: "unknown" } as const;
            throw new FailureError(createFailure(resultCodes.storeUnavailable, message, options));
        }
        if (!record || record.state === "not-run") {
            const message = "the call of this Idempotency-Key was not sent; it may be tried again";
            throw new FailureError(createFailure(resultCodes.storeUnavailable, message, { retryAfterMs }));
        }
        return yield* this.resolveExisting(recordKey, digest, record);
    }

    /** Answers a call whose key has a record. */
    private *resolveExisting(recordKey: string, digest: string, record: SendRecord): Task<CallResult> {
        if (record.digest !== digest) {
            const message = "the Idempotency-Key was used before with another method, path or body";
            throw new FailureError(createFailure(resultCodes.idempotencyKeyReused, message));
        }
        switch (record.state) {
            case "done":
                return { answer: decodeAnswer(record.answer!), isRecorded: true, isReplayed: true };
            case "expired": {
                const message = "the call has run; its answer is no longer kept";
                throw new FailureError(createFailure(resultCodes.answerNotKept, message));
            }
            case "not-run": {
                const message = "another attempt of this call ended just now; it may be tried again";
                throw new FailureError(createFailure(resultCodes.callInProgress, message, { retryAfterMs }));
            }
            case "unknown":
                throw createUnknown();
            case "sending":
                return yield* this.joinOwner(recordKey, digest, record);
        }
    }

    /** Waits for the call's end at the node that sends it. */
    private *joinOwner(recordKey: string, digest: string, record: SendRecord): Task<CallResult> {
        if (record.nodeId === this.options.nodeId) {
            throw createUnknown();
        }
        let reply: { running: boolean; ended: boolean; };
        try {
            reply = (yield* waitFor(
                this.options.network.call(record.nodeId, joinMethod, { recordKey }, joinTimeoutMs),
            )) as { running: boolean; ended: boolean; };
        }
        catch {
            throw createUnknown();
        }
        if (reply.running && !reply.ended) {
            const message = "the call of this Idempotency-Key is running";
            throw new FailureError(createFailure(resultCodes.callInProgress, message, { retryAfterMs }));
        }
        const latest = yield* waitFor(this.options.records.read(recordKey).catch(() => undefined));
        if (!latest || latest.state === "sending") {
            throw createUnknown();
        }
        return yield* this.resolveExisting(recordKey, digest, latest);
    }

    private async answerJoin(payload: unknown): Promise<unknown> {
        const { recordKey } = joinSchema.parse(payload);
        const done = this.running.get(recordKey);
        if (!done) {
            return { running: false, ended: true };
        }
        const { clock } = this.options;
        const pending = [done.then(() => true, () => true)];
        const ended = await waitWithTimeout({ clock, promises: pending, timeoutMs: joinTimeoutMs / 2 });
        return { running: true, ended: ended ?? false };
    }

    private *tryRunners(call: AccountCall): Task<CallResult> {
        const budget = this.getBudget(call.service);
        budget.countRequest();
        const tried = new Set<string>();
        let message = "no runner is available";
        let sent = false;
        while (tried.size < maxRunnersTried) {
            const runner = this.pickRunner(call.service, tried);
            if (!runner) {
                break;
            }
            tried.add(runner.id);
            const result = yield* this.sendTo(runner, call.call);
            if ("answer" in result) {
                return { answer: result.answer, isRecorded: true, isReplayed: false };
            }
            message = result.failure.message;
            sent = sent || result.failure.isSent;
            if (!budget.takeRetry()) {
                break;
            }
        }
        if (!sent) {
            const text = `no runner of "${call.service}" could be reached: ${message}`;
            throw new FailureError(createFailure(resultCodes.noRunner, text, { retryAfterMs }));
        }
        throw new FailureError(
            createFailure(resultCodes.upstreamFailed, `service "${call.service}": ${message}`),
        );
    }

    private *sendTo(runner: Runner, call: PlainCall): ReturnType<PlainCalls["sendTask"]> {
        runner.recordSent();
        try {
            return yield* this.sendTask(runner, call);
        }
        finally {
            runner.recordEnded();
        }
    }

    private *sendTask(
        runner: Runner,
        call: PlainCall,
    ): Task<
        { readonly answer: PlainAnswer; } | {
            readonly failure: { readonly isSent: boolean; readonly message: string; };
        }
    > {
        const result = yield* waitFor(runner.client.plain!.call(call));
        const { ejections } = this.options.registry;
        if ("answer" in result) {
            ejections.recordSuccess(runner.id);
        }
        else if (
            ejections.recordFailure(runner.id, this.options.registry.listRunners(runner.vm.service).length)
        ) {
            this.options.events.emit(eventKinds.runnerEjected, { runner: runner.id });
        }
        return result;
    }

    /** Takes the less busy of two random usable runners. */
    private pickRunner(service: string, tried: ReadonlySet<string>): Runner | undefined {
        const { random, registry } = this.options;
        const usable = registry.listUsable(service).filter(runner => !tried.has(runner.id));
        const healthy = usable.filter(runner =>
            random.drawFloat() < registry.ejections.computeTrafficShare(runner.id)
        );
        const candidates = healthy.length > 0 ? healthy : usable;
        if (candidates.length === 0) {
            return undefined;
        }
        const first = candidates[random.drawInt(candidates.length)];
        const second = candidates[random.drawInt(candidates.length)];
        return first.inFlight <= second.inFlight ? first : second;
    }

    private *count(service: string, body: Task<CallResult>): Task<CallResult> {
        if (this.inFlight >= (this.options.maxInFlight ?? defaultMaxInFlight)) {
            const message = `too many calls to "${service}" are in flight`;
            throw new FailureError(createFailure(resultCodes.overloaded, message, { retryAfterMs }));
        }
        this.inFlight += 1;
        try {
            return yield* body;
        }
        finally {
            this.inFlight -= 1;
        }
    }

    private getBudget(service: string): RetryBudget {
        let budget = this.budgets.get(service);
        if (!budget) {
            budget = new RetryBudget();
            this.budgets.set(service, budget);
        }
        return budget;
    }
}

const createUnknown = (): FailureError => {
    const message = "the call was sent and its outcome is not known";
    return new FailureError(createFailure(resultCodes.callOutcomeUnknown, message));
};

const computeDigest = (call: PlainCall): string =>
    hashText(`${call.method}\n${call.path}\n${call.body?.toString("base64") ?? ""}`);

const encodeAnswer = (answer: PlainAnswer): RecordedAnswer => ({
    status: answer.status,
    headers: answer.headers,
    body: answer.body.toString("base64"),
});

const decodeAnswer = (answer: RecordedAnswer): PlainAnswer => ({
    status: answer.status,
    headers: answer.headers,
    body: Buffer.from(answer.body, "base64"),
});

/** Name of the plain calls service. */
export const plainCallsName = createServiceName<PlainCalls>("plain-calls");
