import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";
import type { UpstreamView } from "../placement/types";
import type { ClusterSums } from "../sums/ClusterSums";
import { DecayedMean } from "./DecayedMean";
import type { WorkRequest } from "./types";
import { UpstreamSpeeds } from "./UpstreamSpeeds";
import { WorkModel } from "./WorkModel";

/** Options of {@link WorkBalance}. */
export interface WorkBalanceOptions {
    readonly clock: Clock;
    readonly sums: Pick<ClusterSums, "registerContributor" | "readOthers">;
}

/** A request that is under way at an upstream. */
export interface WorkInProgress {
    /**
     * Ends it; further calls have no effect.
     *
     * @param isAnswered - whether the upstream has answered completely, so that the request tells what it cost
     */
    end(isAnswered: boolean): void;
}

/** Group of counters with the work outstanding by upstream, in units of 10 ms. */
const workGroup = "work";
const unitMs = 10;
const meanWeight = 0.02;
const workShare = 0.25; // of the load; the rest is the number of requests, since each takes a place whatever it costs

/**
 * Work that upstreams still have to do: this node's requests by their estimated cost, and those of the other nodes as they
 * told it last. What a request takes is learned when it has been answered.
 */
export class WorkBalance {
    private readonly model = new WorkModel();
    private readonly speeds = new UpstreamSpeeds();
    private readonly outstandingMs = new Map<string, number>();
    /** Mean cost of the requests to each service, in milliseconds. */
    private readonly meanMs = new Map<string, DecayedMean>();

    constructor(private readonly options: WorkBalanceOptions) {}

    async start(): Promise<void> {
        this.options.sums.registerContributor(workGroup, () => this.readOwn());
    }

    /**
     * Counts the work of a request that is sent to an upstream.
     *
     * @param upstream - id of the upstream
     * @param request - the request
     */
    begin(upstream: string, request: WorkRequest): WorkInProgress {
        const { workMs } = this.model.estimate(request);
        const startedMs = this.options.clock.readMonotonicMs();
        this.getMean(request.service).add(workMs);
        this.add(upstream, workMs);
        let isEnded = false;
        return {
            end: isAnswered => {
                if (isEnded) {
                    return;
                }
                isEnded = true;
                this.add(upstream, -workMs);
                if (isAnswered) {
                    this.learn(upstream, request, this.options.clock.readMonotonicMs() - startedMs);
                }
            },
        };
    }

    /**
     * Computes the load of an upstream: its requests and their outstanding work, by how long it takes for them, in requests
     * of mean cost.
     *
     * @param service - service of the upstream
     * @param view - the upstream, with the number of its requests
     */
    computeLoad(service: string, view: UpstreamView): number {
        const meanMs = this.getMean(service).value;
        if (meanMs === undefined) {
            return view.inFlight;
        }
        const others = this.options.sums.readOthers(workGroup).get(view.id) ?? 0;
        const workMs = (this.outstandingMs.get(view.id) ?? 0) + others * unitMs;
        const load = workMs / meanMs * workShare + view.inFlight * (1 - workShare);
        return load * this.speeds.readFactor(view.id);
    }

    private learn(upstream: string, request: WorkRequest, tookMs: number): void {
        const factor = this.speeds.readFactor(upstream);
        const ratio = tookMs / this.model.estimate(request).workMs;
        this.model.learn(request, tookMs / factor);
        this.speeds.learn(upstream, ratio);
    }

    private add(upstream: string, workMs: number): void {
        const next = (this.outstandingMs.get(upstream) ?? 0) + workMs;
        if (next < unitMs / 2) {
            this.outstandingMs.delete(upstream);
        }
        else {
            this.outstandingMs.set(upstream, next);
        }
    }

    private readOwn(): ReadonlyMap<string, number> {
        return new Map([...this.outstandingMs].map(([id, workMs]) => [id, Math.round(workMs / unitMs)]));
    }

    private getMean(service: string): DecayedMean {
        const mean = this.meanMs.get(service) ?? new DecayedMean(meanWeight);
        this.meanMs.set(service, mean);
        return mean;
    }
}

/** Name of the work balance service. */
export const workBalanceName = createServiceName<WorkBalance>("work-balance");
