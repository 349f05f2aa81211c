import { FairQueue, type QueuedItem } from "../admission/FairQueue";
import type { Clock } from "../kernel/types";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import type { RoutingPolicy, RoutingRequest, RunnerView } from "./types";

/** A request that asks for a runner. */
export interface DispatchRequest {
    readonly accountId: string;
    readonly urgency: "interactive" | "batch";
    readonly bytes: number;
    readonly promptBlocks: readonly string[];
    readonly promptTokens: number;
    readonly expectedTokens: number;
    /** Target for the time to the first token, in milliseconds. */
    readonly firstTokenTargetMs: number;
    /** Target for the time between tokens, in milliseconds. */
    readonly betweenTokensTargetMs: number;
    /** Time for which the request may wait for a runner, in milliseconds. */
    readonly maxWaitMs: number;
    /** Ids of runners that must not be chosen, such as one that just failed. */
    readonly excludedRunnerIds: ReadonlySet<string>;
    /** Whether the request was accepted before. It must not be refused then: queue limits and time-out do not apply. */
    readonly isAccepted: boolean;
}

/** Options of {@link Dispatcher}. */
export interface DispatcherOptions {
    readonly service: string;
    readonly policy: RoutingPolicy;
    readonly clock: Clock;
    readonly maxQueuedRequests: number;
    readonly maxQueuedBytes: number;
    /** Describes the usable runners for a prompt, given the hashes of its blocks. */
    readonly createViews: (blocks: readonly string[]) => readonly RunnerView[];
    /** Called when a runner is chosen, before the promise of the waiting request resolves. */
    readonly onRunnerChosen: (runnerId: string) => void;
}

interface WaitingRequest {
    readonly request: DispatchRequest;
    readonly sinceMs: number;
    readonly resolve: (runnerId: string) => void;
    readonly reject: (error: FailureError) => void;
}

const sharedSlotFraction = 0.2; // of a runner's slots; while at least this share is free, any node may use them
const dispatchGapSmoothing = 0.1;
const maxGapMs = 1_000; // a gap without demand says nothing about the capacity
const minRetryAfterMs = 250;
const maxDispatchesPerCall = 1_000;

/** Assigns the runners of one service to waiting requests, fairly between client accounts. */
export class Dispatcher {
    private readonly queue: FairQueue<WaitingRequest>;
    private readonly acceptedRequests: WaitingRequest[] = [];
    private meanDispatchGapMs: number | undefined;
    private lastDispatchMs: number | undefined;

    constructor(private readonly options: DispatcherOptions) {
        this.queue = new FairQueue({
            maxRequests: options.maxQueuedRequests,
            maxBytes: options.maxQueuedBytes,
        });
    }

    /** Number of waiting requests. */
    get size(): number {
        return this.queue.size + this.acceptedRequests.length;
    }

    /**
     * Acquires a runner, waiting in the queue if none is free.
     *
     * @param request - the request
     * @param signal - removes the request from the queue when aborted; the promise then stays pending
     * @returns id of the runner
     * @throws FailureError if the request is refused; it has then not run
     */
    acquire(request: DispatchRequest, signal?: AbortSignal): Promise<string> {
        const sinceMs = this.options.clock.readMonotonicMs();
        if (this.size === 0) {
            const runnerId = this.chooseRunner(request, 0);
            if (runnerId !== undefined) {
                return Promise.resolve(runnerId);
            }
        }
        const refusal = request.isAccepted ? undefined : this.findRefusal(request);
        if (refusal) {
            return Promise.reject(refusal);
        }
        return new Promise((resolve, reject) => {
            this.enqueue({ request, sinceMs, resolve, reject }, signal);
            this.dispatchQueued();
        });
    }

    /** Dispatches waiting requests while runners are free. To be called when the runners or their load have changed. */
    dispatchQueued(): void {
        this.dispatchAccepted();
        for (let dispatched = 0; dispatched < maxDispatchesPerCall; dispatched += 1) {
            const item = this.queue.peek();
            if (!item) {
                return;
            }
            const { request, sinceMs, resolve, reject } = item.value;
            const waitedMs = this.options.clock.readMonotonicMs() - sinceMs;
            const runnerId = this.chooseRunner(request, waitedMs);
            if (runnerId === undefined && (request.isAccepted || waitedMs < request.maxWaitMs)) {
                return;
            }
            this.queue.take();
            if (runnerId !== undefined) {
                resolve(runnerId);
            }
            else {
                reject(
                    this.createRefusal(
                        `no runner of "${this.options.service}" became free within the request's maximum wait`,
                    ),
                );
            }
        }
    }

    /**
     * Predicts the wait of a request that joins the queue now, in milliseconds. Uses the mean gap between this node's
     * dispatches, which reflects the share of the runners that the other nodes leave to it.
     */
    predictWaitMs(): number {
        const views = this.options.createViews([]);
        const slots = views.reduce((sum, view) => sum + view.slots, 0);
        if (slots === 0) {
            return Infinity;
        }
        const serviceMs = views.reduce((sum, view) => sum + view.serviceMs, 0) / views.length;
        return (this.size + 1) * (this.meanDispatchGapMs ?? serviceMs / slots);
    }

    private recordDispatch(): void {
        const nowMs = this.options.clock.readMonotonicMs();
        if (this.lastDispatchMs !== undefined) {
            const gapMs = Math.min(nowMs - this.lastDispatchMs, maxGapMs);
            this.meanDispatchGapMs = (this.meanDispatchGapMs ?? gapMs)
                + dispatchGapSmoothing * (gapMs - (this.meanDispatchGapMs ?? gapMs));
        }
        this.lastDispatchMs = nowMs;
    }

    /** Dispatches requests that were accepted before. They go first and have no time-out. */
    private dispatchAccepted(): void {
        while (this.acceptedRequests.length > 0) {
            const { request, sinceMs, resolve } = this.acceptedRequests[0];
            const runnerId = this.chooseRunner(request, this.options.clock.readMonotonicMs() - sinceMs);
            if (runnerId === undefined) {
                return;
            }
            this.acceptedRequests.shift();
            resolve(runnerId);
        }
    }

    private enqueue(waiting: WaitingRequest, signal: AbortSignal | undefined): void {
        const { request } = waiting;
        if (request.isAccepted) {
            this.acceptedRequests.push(waiting);
            signal?.addEventListener("abort", () => removeFrom(this.acceptedRequests, waiting));
            return;
        }
        const item: QueuedItem<WaitingRequest> = {
            accountId: request.accountId,
            urgency: request.urgency,
            bytes: request.bytes,
            cost: request.promptTokens + request.expectedTokens,
            value: waiting,
        };
        if (!this.queue.push(item)) {
            waiting.reject(this.createRefusal(`the request queue of "${this.options.service}" is full`));
            return;
        }
        signal?.addEventListener("abort", () => this.queue.remove(item));
    }

    private findRefusal(request: DispatchRequest): FailureError | undefined {
        const waitMs = this.predictWaitMs();
        if (waitMs <= request.maxWaitMs) {
            return undefined;
        }
        if (waitMs === Infinity) {
            const message = `no runner of "${this.options.service}" is available`;
            return new FailureError(createFailure(resultCodes.noRunner, message, { retryAfterMs: 1_000 }));
        }
        const message = `a runner of "${this.options.service}" is expected in ${Math.round(waitMs)} ms, `
            + `later than the latency target allows`;
        const retryAfterMs = Math.max(minRetryAfterMs, waitMs - request.maxWaitMs);
        return new FailureError(createFailure(resultCodes.deadlineUnreachable, message, { retryAfterMs }));
    }

    private createRefusal(message: string): FailureError {
        const waitMs = this.predictWaitMs();
        const retryAfterMs = Math.max(minRetryAfterMs, Number.isFinite(waitMs) ? waitMs : 1_000);
        return new FailureError(createFailure(resultCodes.overloaded, message, { retryAfterMs }));
    }

    private chooseRunner(request: DispatchRequest, waitedMs: number): string | undefined {
        const views = this.options.createViews(request.promptBlocks).filter(view =>
            this.hasCapacity(view, request)
        );
        const routingRequest: RoutingRequest = {
            promptTokens: request.promptTokens,
            expectedTokens: request.expectedTokens,
            firstTokenTargetMs: request.firstTokenTargetMs,
            betweenTokensTargetMs: request.betweenTokensTargetMs,
            waitedMs,
        };
        const { runnerId } = this.options.policy.choose(routingRequest, views);
        if (runnerId !== undefined) {
            this.recordDispatch();
            this.options.onRunnerChosen(runnerId);
        }
        return runnerId;
    }

    /**
     * Whether a runner has capacity for a request. All nodes see the same delayed load report. The last free slots are
     * reserved for nodes that use less than an equal share of the runner; otherwise all nodes would fill the same slot.
     */
    private hasCapacity(view: RunnerView, request: DispatchRequest): boolean {
        if (request.excludedRunnerIds.has(view.id)) {
            return false;
        }
        const free = view.slots - view.running - view.queued;
        return free >= view.slots * sharedSlotFraction
            || (free > 0 && view.ownRequests < view.slots / view.nodeCount);
    }
}

const removeFrom = (list: WaitingRequest[], waiting: WaitingRequest): void => {
    const index = list.indexOf(waiting);
    if (index >= 0) {
        list.splice(index, 1);
    }
};
