import { rankByRendezvous } from "../_lib/rankByRendezvous";
import type { InstanceRegistry } from "../placement/InstanceRegistry";
import type { TrackedInstance } from "../placement/createTrackedInstance";
import type { PlacementPolicy, UpstreamView } from "../placement/types";
import type { VersionChoice } from "../rollouts/VersionChoice";
import type { StreamBinding } from "./StreamBinding";

/** Options of {@link UpstreamSelection}. */
export interface UpstreamSelectionOptions {
    readonly instances: Pick<InstanceRegistry, "listUsable" | "listInService" | "createViews">;
    readonly placement: PlacementPolicy;
    readonly service: string;
    /** Key that is equal for requests with a common prompt prefix; undefined for requests without a prompt. */
    readonly affinityKey: string | undefined;
    readonly binding: Pick<StreamBinding, "matches" | "isBound">;
    /** Chooses versions during a roll-out; undefined if there is none. */
    readonly versions?: Pick<VersionChoice, "select">;
    /** Finds by what the request may crash upstreams; undefined if it is not suspected. */
    readonly findSuspect: () => string | undefined;
}

/** A chosen upstream. */
export interface SelectedUpstream {
    readonly upstream: TrackedInstance;
    /** Requests of all nodes in flight there, as last known. */
    readonly load: number;
}

/** Chooses the upstreams of one request, each once until {@link clearTried}. */
export class UpstreamSelection {
    private readonly triedIds = new Set<string>();

    constructor(private readonly options: UpstreamSelectionOptions) {}

    /**
     * Chooses a usable upstream to which the request has not been sent, and at which its stream may go on.
     *
     * @param options - whether upstreams with a free slot are preferred; default false
     */
    choose({ prefersRoom = false } = {}): SelectedUpstream | undefined {
        const { instances, placement, service, affinityKey } = this.options;
        const untried = this.listUntried();
        const views = instances.createViews(untried);
        const withRoom = prefersRoom ? views.filter(hasRoom) : [];
        const view = placement.choose({ service, affinityKey }, withRoom.length > 0 ? withRoom : views);
        const upstream = untried.find(({ instance }) => instance.id === view?.id);
        return view && upstream && { upstream, load: view.inFlight };
    }

    /** Whether another upstream than the given one could be chosen. */
    hasOther(upstream: TrackedInstance): boolean {
        return this.listUntried().some(other => other !== upstream);
    }

    /** Whether an upstream other than the given one has a free slot and could be chosen. */
    hasRoomElsewhere(upstream: TrackedInstance): boolean {
        const others = this.listUntried().filter(other => other !== upstream);
        return this.options.instances.createViews(others).some(hasRoom);
    }

    /** Marks an upstream as one to which the request has been sent. */
    markTried(upstream: TrackedInstance): void {
        this.triedIds.add(upstream.instance.id);
    }

    /** Allows all upstreams to be chosen again. */
    clearTried(): void {
        this.triedIds.clear();
    }

    private listUntried(): TrackedInstance[] {
        const { instances, service, binding, versions } = this.options;
        const onlyId = this.findOnlyId();
        const untried = instances.listUsable(service).filter(({ instance }) =>
            !this.triedIds.has(instance.id) && binding.matches(instance)
            && (onlyId === undefined || instance.id === onlyId)
        );
        return versions ? versions.select(untried, binding.isBound) : untried;
    }

    /** Finds the upstream to which requests that may crash upstreams are sent, the same on all nodes. */
    private findOnlyId(): string | undefined {
        const suspect = this.options.findSuspect();
        if (suspect === undefined) {
            return undefined;
        }
        const ids = this.options.instances.listInService(this.options.service).map(({ instance }) =>
            instance.id
        );
        return rankByRendezvous(suspect, ids).at(0);
    }
}

const hasRoom = ({ inFlight, slots }: UpstreamView): boolean => inFlight < slots;
