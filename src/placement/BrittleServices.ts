import { z } from "zod";
import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";
import type { PeerReports, ReportTopic } from "../peers/PeerReports";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { computePlaceShare } from "./computePlaceShare";
import { type HeardState, HeardStates } from "./HeardStates";
import type { UpstreamInstance } from "./types";

/** Options of {@link BrittleServices}. */
export interface BrittleServicesOptions {
    readonly reports: Pick<PeerReports, "publish" | "listen">;
    /** Reads this node's place among the nodes, by a name that is the same on all of them. */
    readonly readNodes: (name: string) => { readonly rank: number; readonly presumedNodes: number; };
    readonly clock: Clock;
    readonly events: EventLog;
}

interface BrittleReport {
    readonly service: string;
    /** Undefined if its upstreams no longer say that they are brittle. */
    readonly turnedAwayPerS?: number;
}

interface BrittleState extends HeardState {
    rank: number;
    nodes: number;
    nodesReadMs: number;
}

const topic: ReportTopic<BrittleReport> = {
    name: "brittle-service",
    schema: z.object({ service: z.string(), turnedAwayPerS: z.number().nonnegative().optional() }),
};
const nodesReadMs = 250;
const usedShare = 0.85; // of the slots; an upstream frees them a little later than the node counts them free

/**
 * Keeps brittle upstreams, which fall over when they turn requests away, from having to: while the upstreams of a
 * service say that they are brittle, each node has no more requests in flight at one than its part of its slots.
 */
export class BrittleServices {
    private readonly states: HeardStates<BrittleState>;

    constructor(private readonly options: BrittleServicesOptions) {
        this.states = new HeardStates(options.clock);
    }

    async start(): Promise<void> {
        this.options.reports.listen(topic, ({ service, turnedAwayPerS }) => {
            if (turnedAwayPerS === undefined) {
                this.drop(service);
            }
            else {
                this.adopt(service, turnedAwayPerS);
            }
        });
    }

    /**
     * Records what an upstream says in an answer.
     *
     * @param service - name of its service
     * @param turnedAwayPerS - requests that it may turn away in a second; undefined if it does not say that it is brittle
     */
    observe(service: string, turnedAwayPerS: number | undefined): void {
        if (turnedAwayPerS === undefined) {
            if (this.drop(service)) {
                this.options.reports.publish(topic, { service });
            }
            return;
        }
        if (this.states.isNews(this.states.find(service))) {
            this.adopt(service, turnedAwayPerS);
            this.options.reports.publish(topic, { service, turnedAwayPerS });
        }
    }

    /** Whether the upstreams of a service say that they are brittle. */
    isBrittle(service: string): boolean {
        return this.states.find(service) !== undefined;
    }

    /**
     * Lists how many requests this node may have in flight at each upstream of a service.
     *
     * @param service - name of the service
     * @param instances - its upstreams
     * @returns limits by id; undefined where there are none, as the upstreams are not brittle
     */
    listLimits(
        service: string,
        instances: readonly UpstreamInstance[],
    ): ReadonlyMap<string, number> | undefined {
        const state = this.states.find(service);
        if (!state) {
            return undefined;
        }
        this.refresh(service, state);
        const limits = new Map<string, number>();
        let offset = 0;
        for (const { id, slots } of [...instances].sort((a, b) => a.id < b.id ? -1 : 1)) {
            const places = Math.max(1, Math.floor(slots * usedShare));
            limits.set(id, computePlaceShare({ places, offset, rank: state.rank, nodes: state.nodes }));
            offset += places;
        }
        return limits;
    }

    private adopt(service: string, turnedAwayPerS: number): void {
        const nowMs = this.options.clock.readMonotonicMs();
        const known = this.states.find(service);
        if (known) {
            known.heardMs = nowMs;
            return;
        }
        this.states.add(service, { heardMs: nowMs, rank: 0, nodes: 1, nodesReadMs: -Infinity });
        this.options.events.emit(eventKinds.serviceBrittle, { service, turnedAwayPerS });
    }

    /** Drops what is known of a service, unless it was heard a moment ago; returns whether there was anything. */
    private drop(service: string): boolean {
        if (!this.states.drop(service)) {
            return false;
        }
        this.options.events.emit(eventKinds.serviceBrittle, { service });
        return true;
    }

    private refresh(service: string, state: BrittleState): void {
        const nowMs = this.options.clock.readMonotonicMs();
        if (nowMs - state.nodesReadMs < nodesReadMs) {
            return;
        }
        const { rank, presumedNodes } = this.options.readNodes(service);
        Object.assign(state, { rank, nodes: presumedNodes, nodesReadMs: nowMs });
    }
}

/** Name of the brittle services service. */
export const brittleServicesName = createServiceName<BrittleServices>("brittle-services");
