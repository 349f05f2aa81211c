import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task, TaskHandle } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { ScheduledReclaim } from "../membership/CloudPoller";
import type { GossipMap } from "../peers/GossipMap";
import type { Vm } from "../platform/types";
import { PrefixIndex, tokensPerBlock } from "../routing/PrefixIndex";
import type { RunnerView } from "../routing/types";
import { EjectionTracker } from "../retries/EjectionTracker";
import { ObservableValue } from "../_lib/ObservableValue";
import { rankByRendezvous } from "../_lib/rankByRendezvous";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { Runner } from "./Runner";
import { UpstreamRejections } from "./UpstreamRejections";
import type { CacheEvent, EngineClient, PlainClient } from "./types";

/** Creates the clients of upstreams and thereby chooses their protocols. */
export interface UpstreamClientFactory {
    createEngineClient(vm: Vm): EngineClient;
    createPlainClient(vm: Vm): PlainClient;
}

/** Options of {@link UpstreamRegistry}. */
export interface UpstreamRegistryOptions {
    readonly nodeId: string;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly gossip: GossipMap;
    readonly clients: UpstreamClientFactory;
    /** Returns the kind of a declared service; undefined if it is not declared. */
    readonly readServiceKind: (service: string) => "model" | "plain" | undefined;
    readonly loadPollMs: number;
    /** Limit of load polls per second over all runners; each is polled less often when there are more. Default 12. */
    readonly maxPollsPerSecond?: number;
    /** Returns the number of live members of the cluster; default 1. */
    readonly countMembers?: () => number;
    /** Maximum number of runners of one service that this node uses and polls; default 12. */
    readonly maxRunnersPerService?: number;
}

const defaultMaxRunnersPerService = 12;
const defaultMaxPollsPerSecond = 12; // a poll takes 320 bytes and 0.7 ms: 3.8 KB/s and 0.8 % of a core in all
const msPerSecond = 1_000;
const loadPollsPerCachePoll = 4;

/** The runners (upstream VMs) that this node sends requests to, with their state. */
export class UpstreamRegistry {
    readonly prefixes = new PrefixIndex();
    readonly ejections: EjectionTracker;
    /** The runner that most recently began to leave. */
    readonly lastLeavingRunner = new ObservableValue<Runner | undefined>(undefined);
    /** Incremented on each change of the runners or their load; queued requests then retry their routing decision. */
    readonly changed = new ObservableValue(0);
    private readonly runners = new Map<string, Runner>();
    private readonly pollTasks = new Map<string, TaskHandle<void>>();
    /** Share of each service's runners that this node uses, 0 to 1. */
    private readonly selectedShares = new Map<string, number>();
    private readonly scope: TaskScope;
    private readonly rejections: UpstreamRejections;

    constructor(private readonly options: UpstreamRegistryOptions) {
        this.rejections = new UpstreamRejections(options.events);
        this.ejections = new EjectionTracker({ clock: options.clock });
        this.scope = createLoggedTaskScope(options.events);
    }

    async start(): Promise<void> {
        this.options.gossip.latestChange.changes.observe(() => this.refresh()).catch(() => {});
        this.refresh();
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
        await Promise.all([...this.runners.values()].map(runner => runner.close()));
    }

    /** Lists the runners of a service, including those that are leaving. */
    listRunners(service: string): Runner[] {
        return [...this.runners.values()].filter(runner => runner.vm.service === service);
    }

    /** Lists the runners of a service that may receive new requests. */
    listUsable(service: string): Runner[] {
        return this.listRunners(service).filter(runner => !runner.isLeaving);
    }

    find(runnerId: string): Runner | undefined {
        return this.runners.get(runnerId);
    }

    /**
     * Creates the input of a routing decision: the state of a service's usable runners.
     *
     * @param service - the service
     * @param blocks - hashes of the prompt's blocks, in order
     * @returns one view for each runner that is neither leaving nor ejected
     */
    createViews(service: string, blocks: readonly string[]): RunnerView[] {
        const cached = this.prefixes.countCachedTokens(blocks);
        const views: RunnerView[] = [];
        for (const runner of this.listUsable(service)) {
            const trafficShare = this.ejections.computeTrafficShare(runner.id);
            if (trafficShare > 0) {
                views.push(this.toView(runner, cached.get(runner.id) ?? 0, trafficShare));
            }
        }
        return views;
    }

    /** Updates the runners from the gossip map, also after a change of the declared services. */
    refresh(): void {
        const vms = this.selectVms();
        for (const vm of vms.values()) {
            this.updateRunner(vm);
        }
        for (const runner of [...this.runners.values()]) {
            if (!vms.has(runner.id)) {
                this.removeRunner(runner);
            }
        }
        this.applyNotices();
        this.applyDrainOrders();
        this.changed.set(this.changed.value + 1);
    }

    /**
     * Selects the VMs to use: all VMs of services within the limit, otherwise a subset that differs between nodes. VMs
     * with requests in progress are always included.
     */
    private selectVms(): Map<string, Vm> {
        const byService = new Map<string, Vm[]>();
        for (const vm of this.options.gossip.listValues<Vm>("vm/")) {
            if (vm.role === "upstream" && this.options.readServiceKind(vm.service)) {
                byService.set(vm.service, [...byService.get(vm.service) ?? [], vm]);
            }
        }
        const limit = this.options.maxRunnersPerService ?? defaultMaxRunnersPerService;
        const selected = new Map<string, Vm>();
        for (const [service, vms] of byService) {
            this.selectedShares.set(service, Math.min(1, limit / vms.length));
            const ids = vms.map(vm => vm.id);
            const selectedIds = new Set(
                ids.length <= limit ? ids : rankByRendezvous(this.options.nodeId, ids).slice(0, limit),
            );
            vms.filter(vm => selectedIds.has(vm.id) || this.runners.get(vm.id)?.inFlight).forEach(vm =>
                selected.set(vm.id, vm)
            );
        }
        return selected;
    }

    private updateRunner(vm: Vm): void {
        const { id, service, url: address } = vm;
        const runner = this.runners.get(id)
            ?? this.rejections.tryCreate({ id, service, address }, () => this.createRunner(vm));
        if (!runner) {
            return;
        }
        this.runners.set(id, runner);
        runner.vm = vm;
        if (vm.state === "leaving") {
            this.markLeaving(runner, undefined);
        }
    }

    private createRunner(vm: Vm): Runner {
        const { clients, clock } = this.options;
        if (this.options.readServiceKind(vm.service) === "plain") {
            return new Runner(vm, { plain: clients.createPlainClient(vm) }, clock);
        }
        const runner = new Runner(vm, { engine: clients.createEngineClient(vm) }, clock);
        this.pollTasks.set(
            vm.id,
            this.scope.run(`runner-${vm.id}`, signal => this.pollRunner(runner, signal)),
        );
        return runner;
    }

    /** Marks a runner as leaving and removes it once no request is in progress. */
    private removeRunner(runner: Runner): void {
        this.markLeaving(runner, undefined);
        if (runner.inFlight > 0) {
            return;
        }
        this.runners.delete(runner.id);
        this.prefixes.removeRunner(runner.id);
        this.ejections.remove(runner.id);
        this.pollTasks.get(runner.id)?.cancel();
        this.pollTasks.delete(runner.id);
        void runner.close();
    }

    private applyNotices(): void {
        for (const notice of this.options.gossip.listValues<ScheduledReclaim>("notice/")) {
            const runner = this.runners.get(notice.vmId);
            if (runner) {
                this.markLeaving(runner, notice.takenAtMs);
            }
        }
    }

    /** Marks the runners that the fleet manager drains: they get no new requests, and their streams end there. */
    private applyDrainOrders(): void {
        for (const { vmId } of this.options.gossip.listValues<{ vmId: string; }>("drain/")) {
            const runner = this.runners.get(vmId);
            if (runner) {
                this.markLeaving(runner, undefined);
            }
        }
    }

    private markLeaving(runner: Runner, reclaimAtMs: number | undefined): void {
        const hasChanged = !runner.isLeaving
            || (reclaimAtMs !== undefined && runner.reclaimAtMs === undefined);
        runner.markLeaving(reclaimAtMs);
        if (hasChanged) {
            this.options.events.emit(eventKinds.runnerLeaving, {
                runner: runner.id,
                service: runner.vm.service,
            });
            this.lastLeavingRunner.set(runner);
        }
    }

    private *pollRunner(runner: Runner, signal: AbortSignal): Task<void> {
        const engine = runner.client.engine!;
        let polls = 0;
        let lastSequence = 0;
        while (!signal.aborted) {
            try {
                runner.recordReport(yield* waitFor(engine.readLoad()));
                if (polls % loadPollsPerCachePoll === 0) {
                    const events = yield* waitFor(engine.readCacheEvents(lastSequence));
                    lastSequence = this.applyCacheEvents(runner, events, lastSequence);
                }
                this.changed.set(this.changed.value + 1);
            }
            catch {
                // Until the next poll, routing uses the last report and this node's own counts.
            }
            polls += 1;
            yield* waitFor(this.options.clock.sleep(this.computePollIntervalMs(), signal));
        }
    }

    /** Interval between polls of one runner that keeps the polls of all runners within the limit. */
    private computePollIntervalMs(): number {
        const maxPolls = this.options.maxPollsPerSecond ?? defaultMaxPollsPerSecond;
        return Math.max(this.options.loadPollMs, this.pollTasks.size * msPerSecond / maxPolls);
    }

    /** Applies cache events to the prefix index; after a gap in their sequence the runner's entries are discarded. */
    private applyCacheEvents(runner: Runner, events: readonly CacheEvent[], lastSequence: number): number {
        let last = lastSequence;
        for (const event of events) {
            if (last > 0 && event.sequence > last + 1) {
                this.prefixes.removeRunner(runner.id);
            }
            if (event.kind === "stored") {
                this.prefixes.add(runner.id, event.blocks);
            }
            else {
                this.prefixes.remove(runner.id, event.blocks);
            }
            last = event.sequence;
        }
        return last;
    }

    private toView(runner: Runner, cachedTokens: number, trafficShare: number): RunnerView {
        const load = runner.estimatedLoad;
        const running = Math.min(load, runner.slots);
        return {
            id: runner.id,
            dataCentre: runner.vm.dataCentre,
            running,
            queued: load - running,
            reportedLoad: runner.reportedLoad,
            ownRequests: runner.inFlight,
            nodeCount: this.estimateNodeCount(runner.vm.service),
            slots: runner.slots,
            cachedTokens: cachedTokens - cachedTokens % tokensPerBlock,
            prefillMsPerToken: runner.latency.prefillMsPerToken,
            betweenTokensMs: runner.latency.predictBetweenTokensMs(running + 1),
            serviceMs: runner.latency.serviceMs,
            trafficShare,
        };
    }

    /** Estimates how many nodes use each runner of a service; each node may use only a share of the runners. */
    private estimateNodeCount(service: string): number {
        const members = this.options.countMembers?.() ?? 1;
        return Math.max(1, members * (this.selectedShares.get(service) ?? 1));
    }
}

/** Name of the upstream registry service. */
export const upstreamRegistryName = createServiceName<UpstreamRegistry>("upstream-registry");
