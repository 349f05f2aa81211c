import { FairQueue, type QueuedItem } from "../admission/FairQueue";
import type { Clock } from "../kernel/types";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import type { RoutingPolicy, RoutingRequest, RunnerView } from "./types";

/** A request that wants a runner. */
export interface DispatchRequest {
    readonly accountId: string;
    readonly urgency: "interactive" | "batch";
    readonly bytes: number;
    readonly promptBlocks: readonly string[];
    readonly promptTokens: number;
    readonly expectedTokens: number;
    readonly firstTokenTargetMs: number;
    readonly betweenTokensTargetMs: number;
    /** Longest useful wait for a runner, in milliseconds. */
    readonly maxWaitMs: number;
    /** Runners that must not be chosen, such as one that just failed. */
    readonly excludedRunnerIds: ReadonlySet<string>;
    /** Accepted before: waits without the bounds on the queue, since it may no longer be refused. */
    readonly isAccepted: boolean;
}

/** Options of {@link Dispatcher}. */
export interface DispatcherOptions {
    readonly service: string;
    readonly policy: RoutingPolicy;
    readonly clock: Clock;
    readonly maxQueuedRequests: number;
    readonly maxQueuedBytes: number;
    /** Describes the usable runners for a prompt. */
    readonly createViews: (blocks: readonly string[]) => readonly RunnerView[];
    /** Called when a runner is chosen, before the waiting request hears of it. */
    readonly onRunnerChosen: (runnerId: string) => void;
}

interface Waiting {
    readonly request: DispatchRequest;
    readonly sinceMs: number;
    readonly resolve: (runnerId: string) => void;
    readonly reject: (error: FailureError) => void;
}

const commonShare = 0.2; // of a runner's slots; while more are free, any node may use them
const gapSmoothing = 0.1;
const longestGapMs = 1_000; // a quiet time says nothing of the capacity
const shortestRetryAfterMs = 250;
const maxTakenPerPump = 1_000;

/** Gives the runners of one service to waiting requests, fairly between accounts. */
export class Dispatcher {
    private readonly queue: FairQueue<Waiting>;
    private readonly overflow: Waiting[] = [];
    private meanGapMs: number | undefined;
    private lastDispatchMs: number | undefined;

    constructor(private readonly options: DispatcherOptions) {
        this.queue = new FairQueue({
            maxRequests: options.maxQueuedRequests,
            maxBytes: options.maxQueuedBytes,
        });
    }

    /** Number of requests that wait. */
    get size(): number {
        return this.queue.size + this.overflow.length;
    }

    /**
     * Asks for a runner.
     *
     * @param request - the request
     * @param signal - aborts the wait
     * @returns the runner's id
     * @throws FailureError when the request is refused; it has then not run
     */
    acquire(request: DispatchRequest, signal?: AbortSignal): Promise<string> {
        const sinceMs = this.options.clock.readMonotonicMs();
        if (this.size === 0) {
            const runnerId = this.choose(request, 0);
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

    /** Looks again whether waiting requests can go; called when runners or their load changed. */
    dispatchQueued(): void {
        this.pumpOverflow();
        for (let taken = 0; taken < maxTakenPerPump; taken += 1) {
            const item = this.queue.peek();
            if (!item) {
                return;
            }
            const { request, sinceMs, resolve, reject } = item.value;
            const waitedMs = this.options.clock.readMonotonicMs() - sinceMs;
            const runnerId = this.choose(request, waitedMs);
            if (runnerId === undefined && (request.isAccepted || waitedMs < request.maxWaitMs)) {
                return;
            }
            this.queue.take();
            if (runnerId !== undefined) {
                resolve(runnerId);
            }
            else {
                reject(this.createRefusal(`no runner of "${this.options.service}" was free in time`));
            }
        }
    }

    /**
     * Predicted wait of a request that joins the queue now, in milliseconds: the gap between this node's
     * dispatches, which shows what share of the runners the other nodes leave to it.
     */
    predictWaitMs(): number {
        const views = this.options.createViews([]);
        const slots = views.reduce((sum, view) => sum + view.slots, 0);
        if (slots === 0) {
            return Infinity;
        }
        const serviceMs = views.reduce((sum, view) => sum + view.serviceMs, 0) / views.length;
        return (this.size + 1) * (this.meanGapMs ?? serviceMs / slots);
    }

    private recordDispatch(): void {
        const nowMs = this.options.clock.readMonotonicMs();
        if (this.lastDispatchMs !== undefined) {
            const gapMs = Math.min(nowMs - this.lastDispatchMs, longestGapMs);
            this.meanGapMs = (this.meanGapMs ?? gapMs) + gapSmoothing * (gapMs - (this.meanGapMs ?? gapMs));
        }
        this.lastDispatchMs = nowMs;
    }

    /** Requests that were accepted before go first and wait without bounds. */
    private pumpOverflow(): void {
        while (this.overflow.length > 0) {
            const { request, sinceMs, resolve } = this.overflow[0];
            const runnerId = this.choose(request, this.options.clock.readMonotonicMs() - sinceMs);
            if (runnerId === undefined) {
                return;
            }
            this.overflow.shift();
            resolve(runnerId);
        }
    }

    private enqueue(waiting: Waiting, signal: AbortSignal | undefined): void {
        const { request } = waiting;
        if (request.isAccepted) {
            this.overflow.push(waiting);
            signal?.addEventListener("abort", () => removeFrom(this.overflow, waiting));
            return;
        }
        const item: QueuedItem<Waiting> = {
            accountId: request.accountId,
            urgency: request.urgency,
            bytes: request.bytes,
            cost: request.promptTokens + request.expectedTokens,
            value: waiting,
        };
        if (!this.queue.push(item)) {
            waiting.reject(this.createRefusal(`the queue of "${this.options.service}" is full`));
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
            + `which is later than the target allows`;
        const retryAfterMs = Math.max(shortestRetryAfterMs, waitMs - request.maxWaitMs);
        return new FailureError(createFailure(resultCodes.deadlineUnreachable, message, { retryAfterMs }));
    }

    private createRefusal(message: string): FailureError {
        const waitMs = this.predictWaitMs();
        const retryAfterMs = Math.max(shortestRetryAfterMs, Number.isFinite(waitMs) ? waitMs : 1_000);
        return new FailureError(createFailure(resultCodes.overloaded, message, { retryAfterMs }));
    }

    private choose(request: DispatchRequest, waitedMs: number): string | undefined {
        const views = this.options.createViews(request.promptBlocks).filter(view =>
            this.hasRoom(view, request)
        );
        const routed: RoutingRequest = {
            promptTokens: request.promptTokens,
            expectedTokens: request.expectedTokens,
            firstTokenTargetMs: request.firstTokenTargetMs,
            betweenTokensTargetMs: request.betweenTokensTargetMs,
            waitedMs,
        };
        const { runnerId } = this.options.policy.choose(routed, views);
        if (runnerId !== undefined) {
            this.recordDispatch();
            this.options.onRunnerChosen(runnerId);
        }
        return runnerId;
    }

    /**
     * Whether a request may go to a runner. All nodes see the same late report; the last free slots are left to
     * the nodes that have less than an equal share of the runner, so that not all of them fill the same slot.
     */
    private hasRoom(view: RunnerView, request: DispatchRequest): boolean {
        if (request.excludedRunnerIds.has(view.id)) {
            return false;
        }
        const free = view.slots - view.running - view.queued;
        return free >= view.slots * commonShare
            || (free > 0 && view.ownRequests < view.slots / view.nodeCount);
    }
}

const removeFrom = (list: Waiting[], waiting: Waiting): void => {
    const index = list.indexOf(waiting);
    if (index >= 0) {
        list.splice(index, 1);
    }
};
