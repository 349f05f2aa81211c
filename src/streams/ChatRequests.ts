import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { WorkClass } from "../declaration/declarationSchema";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import { toFailure } from "../results/toFailure";
import type { Failure } from "../results/types";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import { eventKinds } from "../telemetry/eventKinds";
import type { ChatBody } from "./chatBodySchema";
import type { ChatRequestsOptions } from "./ChatRequestsOptions";
import type { RequestSnapshot } from "./RequestSnapshot";
import { type BalanceCounts, RequestBalance } from "./RequestBalance";
import { RequestRecord, type RequestState } from "./RequestRecord";
import { RequestExecutor } from "./RequestExecutor";
import { StreamLog } from "./StreamLog";

/** A validated request, to be passed to {@link ChatRequests.accept}. */
export interface NewChatRequest {
    readonly accountId: string;
    readonly service: string;
    readonly workClass: WorkClass;
    readonly body: ChatBody;
    /** Set for requests with an idempotency key; generated otherwise. */
    readonly requestId?: string;
}

const sweepIntervalMs = 100;

/** Model requests of this node, from acceptance to the end of their resume window. */
export class ChatRequests {
    private readonly records = new Map<string, RequestRecord>();
    private readonly balance: RequestBalance;
    private readonly executor: RequestExecutor;
    private readonly scope: TaskScope;

    constructor(private readonly options: ChatRequestsOptions) {
        this.balance = new RequestBalance(options.invariants);
        this.executor = new RequestExecutor(options);
        this.scope = createLoggedTaskScope(options.events);
    }

    async start(): Promise<void> {
        this.scope.run("request-sweep", signal => this.sweep(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    /** All records, ended ones within their resume window included. */
    listRecords(): RequestRecord[] {
        return [...this.records.values()];
    }

    /** Requests that have not ended. */
    listInProgress(): RequestRecord[] {
        return this.listRecords().filter(record => !record.hasEnded);
    }

    /** Answered requests whose whole answer no caller has received yet. */
    listUndelivered(): RequestRecord[] {
        return this.listRecords().filter(record => record.state === "answered" && !record.isDelivered);
    }

    /** Returns the request counts of this node, after asserting that they balance. */
    readBalance(): BalanceCounts {
        return this.balance.check(this.listInProgress().length);
    }

    /**
     * Finds a request of an account. Another account's request is not found.
     *
     * @param requestId - the request
     * @param accountId - the account that asks
     */
    find(requestId: string, accountId: string): RequestRecord | undefined {
        const record = this.records.get(requestId);
        return record?.description.accountId === accountId ? record : undefined;
    }

    /**
     * Accepts a request and starts it. A request whose class is `kept-from-acceptance` is stored first.
     *
     * @param request - the request
     * @returns its record
     * @throws FailureError when it is refused; it has not run unless the failure says that this is unknown
     */
    async accept(request: NewChatRequest): Promise<RequestRecord> {
        if (this.options.memory.isFull) {
            const message = "this node has reached its limit of memory for answers";
            throw new FailureError(createFailure(resultCodes.memoryLimit, message, { retryAfterMs: 1_000 }));
        }
        const isKept = request.workClass.durability === "kept-from-acceptance";
        const record = this.createRecord({
            id: request.requestId ?? `${this.options.nodeId}.${this.options.random.drawId(12)}`,
            accountId: request.accountId,
            service: request.service,
            workClass: request.workClass,
            body: request.body,
            acceptedAtMs: this.options.clock.readWallMs(),
            isKept,
        });
        if (isKept) {
            this.records.set(record.id, record);
            const stored = await this.options.keptRequests.store(this.toSnapshot(record));
            if (stored !== "stored") {
                this.records.delete(record.id);
                const message = "the request could not be stored before acceptance";
                const run = stored === "unknown" ? "unknown" : "not-run";
                const options = { retryAfterMs: 1_000, run } as const;
                throw new FailureError(createFailure(resultCodes.storeUnavailable, message, options));
            }
        }
        this.balance.recordAccepted();
        this.options.events.emit(eventKinds.requestAccepted, {
            requestId: record.id,
            account: request.accountId,
            service: request.service,
            workClass: request.workClass.name,
        });
        this.run(record);
        return record;
    }

    /**
     * Takes over a request from another node or from the store, and continues it where it stopped.
     *
     * @param snapshot - the request
     * @returns false when this node already has the request
     * @throws FailureError when its work class is not declared
     */
    takeOver(snapshot: RequestSnapshot): boolean {
        const known = this.records.get(snapshot.id);
        if (known && known.state !== "handed-over") {
            return false;
        }
        const declaration = this.options.configuration.current.value?.declaration;
        const workClass = declaration?.classes.find(candidate => candidate.name === snapshot.className);
        if (!workClass) {
            const message = `work class "${snapshot.className}" does not exist`;
            throw new FailureError(createFailure(resultCodes.unknownClass, message));
        }
        const { id, accountId, service, body, acceptedAtMs, kept } = snapshot;
        const record = this.createRecord({
            id,
            accountId,
            service,
            workClass,
            body,
            acceptedAtMs,
            isKept: kept,
        });
        if (snapshot.nextOffset > 0) {
            record.log.append({
                firstOffset: 0,
                count: snapshot.nextOffset,
                body: Buffer.from(snapshot.events),
            });
        }
        this.balance.recordReceived();
        this.options.events.emit(eventKinds.handOverReceived, { requestId: id, offset: snapshot.nextOffset });
        if (snapshot.ended) {
            record.log.complete();
        }
        record.attemptCount = snapshot.attempts;
        record.brokenStarts = snapshot.brokenStarts ?? 0;
        record.preferredRunner = snapshot.runnerId === undefined
            ? undefined
            : this.options.registry.find(snapshot.runnerId);
        this.run(record);
        return true;
    }

    /** Captures the state that another node needs to continue a request. */
    toSnapshot(record: RequestRecord): RequestSnapshot {
        const { id, accountId, service, workClass, body, acceptedAtMs, isKept } = record.description;
        return {
            id,
            accountId,
            service,
            className: workClass.name,
            body: { ...body },
            acceptedAtMs,
            kept: isKept,
            events: record.log.read(0),
            nextOffset: record.log.nextOffset,
            ended: record.log.isComplete,
            attempts: record.attemptCount,
            ...(record.brokenStarts > 0 ? { brokenStarts: record.brokenStarts } : {}),
            runnerId: record.currentAttempt?.runner.id,
        };
    }

    /**
     * Ends a request on this node after another node or the store has taken it.
     *
     * @param record - the request
     * @param movedTo - the node that took it; undefined when the store holds it
     */
    markHandedOver(record: RequestRecord, movedTo: string | undefined): void {
        record.movedTo = movedTo;
        this.finish(record, "handed-over");
        record.currentAttempt?.stop({ kind: "cancelled" });
    }

    /** Cancels a request on behalf of its caller. */
    cancel(record: RequestRecord): void {
        if (record.hasEnded) {
            return;
        }
        const failure = createFailure(resultCodes.requestCancelled, `request "${record.id}" was cancelled`);
        this.finish(record, "cancelled", failure);
        record.currentAttempt?.stop({ kind: "cancelled" });
    }

    private createRecord(description: RequestRecord["description"]): RequestRecord {
        return new RequestRecord(description, new StreamLog(this.options.memory));
    }

    private run(record: RequestRecord): void {
        this.records.set(record.id, record);
        this.scope.run(`request-${record.id}`, signal => this.runToEnd(record, signal));
    }

    private *runToEnd(record: RequestRecord, signal: AbortSignal): Task<void> {
        try {
            yield* this.executor.run(record, signal);
            if (!record.hasEnded) {
                this.finish(record, "answered");
            }
        }
        catch (error) {
            if (!record.hasEnded) {
                this.finish(record, "failed", toFailure(error));
            }
        }
        if (record.description.isKept && record.state !== "handed-over") {
            yield* waitFor(this.options.keptRequests.finish(record));
        }
    }

    private finish(
        record: RequestRecord,
        state: Exclude<RequestState, "queued" | "running">,
        failure?: Failure,
    ): void {
        if (record.hasEnded) {
            return;
        }
        this.balance.recordEnd(state);
        record.finish(state, this.options.clock.readWallMs(), failure);
        this.options.metrics.observeRequest(record);
        const fields = { requestId: record.id, code: failure?.resultCode.code, message: failure?.message };
        switch (state) {
            case "answered":
                this.options.events.emit(eventKinds.requestAnswered, {
                    requestId: record.id,
                    events: record.log.nextOffset,
                });
                break;
            case "cancelled":
                this.options.events.emit(eventKinds.requestCancelled, { requestId: record.id });
                break;
            case "failed":
                this.options.events.emit(
                    record.attemptCount === 0 ? eventKinds.requestRefused : eventKinds.requestFailed,
                    fields,
                );
                break;
        }
    }

    /** Stops silent attempts, reports overdue requests and removes those past their resume window. */
    private *sweep(signal: AbortSignal): Task<void> {
        const reported = new Set<string>();
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(sweepIntervalMs, signal));
            const nowMs = this.options.clock.readWallMs();
            for (const record of this.records.values()) {
                if (!record.hasEnded) {
                    this.checkSilence(record);
                    this.reportOverdue(record, nowMs, reported);
                }
                else if (nowMs - record.endedAtMs! > this.options.resumeWindowMs) {
                    record.log.free();
                    this.records.delete(record.id);
                    reported.delete(record.id);
                }
            }
            this.options.dispatchers.dispatchWaiting();
        }
    }

    private checkSilence(record: RequestRecord): void {
        const { currentAttempt } = record;
        if (!currentAttempt) {
            return;
        }
        const { streamSilenceMs } = this.options;
        const isAwaitingFirstBatch = currentAttempt.firstBatchAtMs === undefined;
        const firstTokenMs = record.description.workClass.latency.firstTokenMs;
        if (isAwaitingFirstBatch && currentAttempt.runner.hasRecentlyReportedQueue) {
            return;
        }
        const limitMs = isAwaitingFirstBatch
            ? Math.max(streamSilenceMs * 2, firstTokenMs * 3)
            : streamSilenceMs;
        if (this.options.clock.readMonotonicMs() - currentAttempt.lastActivityAtMs > limitMs) {
            currentAttempt.stop({ kind: "silent" });
        }
    }

    private reportOverdue(record: RequestRecord, nowMs: number, reported: Set<string>): void {
        const { id, acceptedAtMs, workClass } = record.description;
        if (nowMs - acceptedAtMs > workClass.latency.wholeMs && !reported.has(id)) {
            reported.add(id);
            this.options.events.emit(eventKinds.requestOverdue, { requestId: id, workClass: workClass.name });
        }
    }
}

/** Name of the chat requests service. */
export const chatRequestsName = createServiceName<ChatRequests>("chat-requests");
