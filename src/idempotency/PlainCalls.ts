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
import { createLeavingFailure } from "../stopping/createLeavingFailure";
import type { PlannedStop } from "../stopping/PlannedStop";
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
    readonly plannedStop: Pick<PlannedStop, "isDispatchAllowed">;
    /** Maximum calls in flight from this node, over all services; default 2,000. */
    readonly maxInFlight?: number;
}

/** A call of a client account to a plain service. */
export interface AccountCall {
    readonly accountId: string;
    readonly service: string;
    readonly call: PlainCall;
}

/** Result of a call. */
export interface CallResult {
    readonly answer: PlainAnswer;
    /** False when the answer could not be recorded; a retry with the same key may then get "unknown". */
    readonly isRecorded: boolean;
    /** Whether the answer is the recorded one of an earlier call. */
    readonly isReplayed: boolean;
}

const joinMethod = "calls.join";
const joinTimeoutMs = 10_000;
const defaultMaxInFlight = 2_000;
const maxRunnersTried = 3;
const retryAfterMs = 1_000;
const joinSchema = z.object({ recordKey: z.string() }).strict();

/** Sends calls to plain services: idempotent ones with retries, others at most once under a send record. */
export class PlainCalls {
    private readonly runningCalls = new Map<string, Promise<CallResult>>();
    private readonly retryBudgets = new Map<string, RetryBudget>();
    private readonly scope: TaskScope;
    private inFlight = 0;

    constructor(private readonly options: PlainCallsOptions) {
        this.scope = new TaskScope();
        options.network.registerHandler(joinMethod, payload => this.handleJoin(payload));
    }

    /** Number of calls in flight. */
    get inFlightCount(): number {
        return this.inFlight;
    }

    /**
     * Sends an idempotent call. When a runner fails, it is retried on other runners within the retry budget.
     *
     * @returns the answer, never a replayed one
     * @throws FailureError when no runner answered or too many calls are in flight
     */
    *runIdempotent(call: AccountCall): Task<CallResult> {
        return yield* this.trackInFlight(call.service, this.sendWithRetries(call));
    }

    /**
     * Sends a non-idempotent call at most once, or gets the outcome of the earlier call with the same key.
     *
     * @param call - the call
     * @param idempotencyKey - the caller's idempotency key
     * @returns the answer, new or recorded
     * @throws FailureError whose run state tells whether the call has run, has not run, or may have run
     */
    *runAtMostOnce(call: AccountCall, idempotencyKey: string): Task<CallResult> {
        const recordKey = `${call.accountId}/${call.service}/${hashText(idempotencyKey)}`;
        const digest = computeDigest(call.call);
        const earlierCall = this.runningCalls.get(recordKey);
        if (earlierCall) {
            yield* waitFor(earlierCall.catch(() => {}));
            return yield* this.readExisting(recordKey, digest);
        }
        // The task does not end with the caller's connection: its outcome must be recorded in any case.
        const handle = this.scope.run(
            `call-${recordKey}`,
            () => this.trackInFlight(call.service, this.sendOnce(call, recordKey, digest)),
        );
        const done = handle.done as Promise<CallResult>;
        this.runningCalls.set(recordKey, done);
        const remove = (): void => void this.runningCalls.delete(recordKey);
        done.then(remove, remove);
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

    private *sendClaimed(call: AccountCall, permit: SendPermit, digest: string): Task<CallResult> {
        const tried = new Set<string>();
        while (tried.size < maxRunnersTried) {
            if (!this.isAllowedByStop(call)) {
                yield* this.options.records.release(permit);
                throw createLeavingFailure();
            }
            const runner = this.pickRunner(call.service, tried);
            if (!runner) {
                break;
            }
            tried.add(runner.id);
            permit.consume();
            this.options.events.emit(eventKinds.callSent, {
                key: permit.key,
                runner: runner.id,
                attempt: permit.attemptId,
            });
            const result = yield* this.sendTo(runner, call.call);
            if ("answer" in result) {
                const isRecorded = yield* this.options.records.recordAnswer(
                    permit,
                    digest,
                    encodeAnswer(result.answer),
                );
                return { answer: result.answer, isRecorded, isReplayed: false };
            }
            if (result.failure.isSent) {
                this.options.events.emit(eventKinds.callUnknown, {
                    key: permit.key,
                    message: result.failure.message,
                });
                yield* this.options.records.recordUnknown(permit, digest);
                const message = `the call was sent, but no answer was received: ${result.failure.message}`;
                throw new FailureError(createFailure(resultCodes.callOutcomeUnknown, message));
            }
            permit.restore();
        }
        yield* this.options.records.release(permit);
        const message = `no runner of "${call.service}" could be reached; the call was not sent`;
        throw new FailureError(createFailure(resultCodes.noRunner, message, { retryAfterMs }));
    }

    private *readExisting(recordKey: string, digest: string): Task<CallResult> {
        let record: SendRecord | undefined;
        try {
            record = yield* waitFor(this.options.records.read(recordKey));
        }
        catch {
            const message = "the record of this Idempotency-Key cannot be read at present";
            const options = { retryAfterMs, run: "unknown" } as const;
            throw new FailureError(createFailure(resultCodes.storeUnavailable, message, options));
        }
        if (!record || record.state === "not-run") {
            const message = "the call with this Idempotency-Key was not sent; it may be retried";
            throw new FailureError(createFailure(resultCodes.storeUnavailable, message, { retryAfterMs }));
        }
        return yield* this.resolveExisting(recordKey, digest, record);
    }

    /** Maps the record of an earlier call with the same key to a result or a failure. */
    private *resolveExisting(recordKey: string, digest: string, record: SendRecord): Task<CallResult> {
        if (record.digest !== digest) {
            const message = "the Idempotency-Key was used before with another method, path or body";
            throw new FailureError(createFailure(resultCodes.idempotencyKeyReused, message));
        }
        switch (record.state) {
            case "done":
                return { answer: decodeAnswer(record.answer!), isRecorded: true, isReplayed: true };
            case "expired": {
                const message = "the call has run, but its answer is no longer stored";
                throw new FailureError(createFailure(resultCodes.answerNotKept, message));
            }
            case "not-run": {
                const message =
                    "another attempt of this call has just ended without sending it; it may be retried";
                throw new FailureError(createFailure(resultCodes.callInProgress, message, { retryAfterMs }));
            }
            case "unknown":
                throw createOutcomeUnknownError();
            case "sending":
                return yield* this.waitForOwner(recordKey, digest, record);
        }
    }

    /** Waits a limited time for the node that sends the call to finish it, and reads the record again. */
    private *waitForOwner(recordKey: string, digest: string, record: SendRecord): Task<CallResult> {
        if (record.nodeId === this.options.nodeId) {
            throw createOutcomeUnknownError();
        }
        let reply: { running: boolean; ended: boolean; };
        try {
            reply = (yield* waitFor(
                this.options.network.call(record.nodeId, joinMethod, { recordKey }, joinTimeoutMs),
            )) as { running: boolean; ended: boolean; };
        }
        catch {
            throw createOutcomeUnknownError();
        }
        if (reply.running && !reply.ended) {
            const message = "the call with this Idempotency-Key is still running";
            throw new FailureError(createFailure(resultCodes.callInProgress, message, { retryAfterMs }));
        }
        const latest = yield* waitFor(this.options.records.read(recordKey).catch(() => undefined));
        if (!latest || latest.state === "sending") {
            throw createOutcomeUnknownError();
        }
        return yield* this.resolveExisting(recordKey, digest, latest);
    }

    private async handleJoin(payload: unknown): Promise<unknown> {
        const { recordKey } = joinSchema.parse(payload);
        const done = this.runningCalls.get(recordKey);
        if (!done) {
            return { running: false, ended: true };
        }
        const { clock } = this.options;
        const pending = [done.then(() => true, () => true)];
        const ended = await waitWithTimeout({ clock, promises: pending, timeoutMs: joinTimeoutMs / 2 });
        return { running: true, ended: ended ?? false };
    }

    private *sendWithRetries(call: AccountCall): Task<CallResult> {
        const budget = this.getRetryBudget(call.service);
        budget.countRequest();
        const tried = new Set<string>();
        let message = "no runner is available";
        let sent = false;
        while (tried.size < maxRunnersTried) {
            if (!sent && !this.isAllowedByStop(call)) {
                throw createLeavingFailure();
            }
            const runner = this.isAllowedByStop(call) ? this.pickRunner(call.service, tried) : undefined;
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

    /** Whether the stop of the node allows to send the call now, given the time that it may take. */
    private isAllowedByStop({ call }: AccountCall): boolean {
        const { clock, plannedStop } = this.options;
        const deadlineMs = clock.readMonotonicMs() + call.timeoutMs;
        return plannedStop.isDispatchAllowed({ deadlineMs, hasBegun: false });
    }

    private *sendTo(runner: Runner, call: PlainCall): ReturnType<PlainCalls["callRunner"]> {
        runner.recordSent();
        try {
            return yield* this.callRunner(runner, call);
        }
        finally {
            runner.recordEnded();
        }
    }

    private *callRunner(
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

    /** Picks the less loaded of two random usable runners (power of two choices). */
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

    private *trackInFlight(service: string, body: Task<CallResult>): Task<CallResult> {
        if (this.inFlight >= (this.options.maxInFlight ?? defaultMaxInFlight)) {
            const message = `call to "${service}" not sent: this node has too many calls in flight`;
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

    private getRetryBudget(service: string): RetryBudget {
        let budget = this.retryBudgets.get(service);
        if (!budget) {
            budget = new RetryBudget();
            this.retryBudgets.set(service, budget);
        }
        return budget;
    }
}

const createOutcomeUnknownError = (): FailureError => {
    const message = "the call was sent, but its outcome is unknown";
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
