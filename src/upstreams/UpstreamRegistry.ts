import { createServiceName } from "../kernel/createServiceName";
import type { Scope } from "../kernel/Scope";
import type { Clock, Task, TaskHandle } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { KnownNotice } from "../membership/CloudWatch";
import type { GossipMap } from "../peers/GossipMap";
import type { Vm } from "../platform/types";
import { PrefixIndex, tokensPerBlock } from "../routing/PrefixIndex";
import type { RunnerView } from "../routing/types";
import { EjectionTracker } from "../retries/EjectionTracker";
import { Observed } from "../_lib/Observed";
import { rankByRendezvous } from "../_lib/rankByRendezvous";
import { createReportingScope } from "../telemetry/createReportingScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { Runner } from "./Runner";
import type { CacheEvent, EngineClient, PlainClient } from "./types";

/** Creates clients for upstreams; the one place that knows their protocols. */
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
    /** Kind of a declared service, or undefined. */
    readonly readServiceKind: (service: string) => "model" | "plain" | undefined;
    readonly loadPollMs: number;
    /** Most load polls a second over all runners; more runners are polled less often each. Default 12. */
    readonly maxPollsPerSecond?: number;
    /** Number of live members; default 1. */
    readonly countMembers?: () => number;
    /** Runners of one service that this node uses and polls; default 12. */
    readonly maxRunnersPerService?: number;
}

const defaultFollowedRunners = 12;
const defaultMaxPollsPerSecond = 12; // at 320 bytes and 0.7 ms each: 3.8 KB/s and 0.8 % of a core
const msPerSecond = 1_000;
const cachePollEvery = 4; // cache events are read once for this many load polls

/** The upstream VMs that this node uses, with their state. */
export class UpstreamRegistry {
    readonly prefixes = new PrefixIndex();
    readonly ejections: EjectionTracker;
    /** The runner that last began to leave. */
    readonly lastLeavingRunner = new Observed<Runner | undefined>(undefined);
    /** Counts changes of runners and their load, so that waiting requests look again. */
    readonly changed = new Observed(0);
    private readonly runners = new Map<string, Runner>();
    private readonly pollTasks = new Map<string, TaskHandle<void>>();
    /** Share of a service's runners that this node follows. */
    private readonly followedShares = new Map<string, number>();
    private readonly scope: Scope;

    constructor(private readonly options: UpstreamRegistryOptions) {
        this.ejections = new EjectionTracker({ clock: options.clock });
        this.scope = createReportingScope(options.events);
    }

    async start(): Promise<void> {
        this.options.gossip.changed.changes.observe(() => this.refresh()).catch(() => {});
        this.refresh();
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
        await Promise.all([...this.runners.values()].map(runner => runner.close()));
    }

    /** Runners of a service, leaving ones included. */
    listRunners(service: string): Runner[] {
        return [...this.runners.values()].filter(runner => runner.vm.service === service);
    }

    /** Runners of a service that may get new work. */
    listUsable(service: string): Runner[] {
        return this.listRunners(service).filter(runner => !runner.isLeaving);
    }

    find(runnerId: string): Runner | undefined {
        return this.runners.get(runnerId);
    }

    /**
     * Describes the usable runners of a service for a routing decision.
     *
     * @param service - the service
     * @param blocks - hashes of the prompt's blocks
     * @returns one view per runner that is neither leaving nor ejected
     */
    createViews(service: string, blocks: readonly string[]): RunnerView[] {
        const cached = this.prefixes.countCachedTokens(blocks);
        const views: RunnerView[] = [];
        for (const runner of this.listUsable(service)) {
            const admitShare = this.ejections.computeTrafficShare(runner.id);
            if (admitShare > 0) {
                views.push(this.toView(runner, cached.get(runner.id) ?? 0, admitShare));
            }
        }
        return views;
    }

    /** Reads the runners again, after the declared services changed. */
    refresh(): void {
        const vms = this.selectFollowed();
        for (const vm of vms.values()) {
            this.adoptVm(vm);
        }
        for (const runner of [...this.runners.values()]) {
            if (!vms.has(runner.id)) {
                this.dropRunner(runner);
            }
        }
        this.adoptNotices();
        this.adoptDrains();
        this.changed.set(this.changed.value + 1);
    }

    /** All runners of small services; of large ones, a subset that differs from node to node. */
    private selectFollowed(): Map<string, Vm> {
        const byService = new Map<string, Vm[]>();
        for (const vm of this.options.gossip.listValues<Vm>("vm/")) {
            if (vm.role === "upstream" && this.options.readServiceKind(vm.service)) {
                byService.set(vm.service, [...byService.get(vm.service) ?? [], vm]);
            }
        }
        const limit = this.options.maxRunnersPerService ?? defaultFollowedRunners;
        const selected = new Map<string, Vm>();
        for (const [service, vms] of byService) {
            this.followedShares.set(service, Math.min(1, limit / vms.length));
            const ids = vms.map(vm => vm.id);
            const kept = new Set(
                ids.length <= limit ? ids : rankByRendezvous(this.options.nodeId, ids).slice(0, limit),
            );
            vms.filter(vm => kept.has(vm.id) || this.runners.get(vm.id)?.inFlight).forEach(vm =>
                selected.set(vm.id, vm)
            );
        }
        return selected;
    }

    private adoptVm(vm: Vm): void {
        let runner = this.runners.get(vm.id);
        if (!runner) {
            runner = this.createRunner(vm);
            this.runners.set(vm.id, runner);
        }
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

    private dropRunner(runner: Runner): void {
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

    private adoptNotices(): void {
        for (const notice of this.options.gossip.listValues<KnownNotice>("notice/")) {
            const runner = this.runners.get(notice.vmId);
            if (runner) {
                this.markLeaving(runner, notice.takenAtMs);
            }
        }
    }

    /** Runners that the fleet's holder drains get no new work, and their streams end in place. */
    private adoptDrains(): void {
        for (const { vmId } of this.options.gossip.listValues<{ vmId: string; }>("drain/")) {
            const runner = this.runners.get(vmId);
            if (runner) {
                this.markLeaving(runner, undefined);
            }
        }
    }

    private markLeaving(runner: Runner, takenAtMs: number | undefined): void {
        const isNews = !runner.isLeaving || (takenAtMs !== undefined && runner.reclaimAtMs === undefined);
        runner.markLeaving(takenAtMs);
        if (isNews) {
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
                runner.adoptReport(yield* waitFor(engine.readLoad()));
                if (polls % cachePollEvery === 0) {
                    const events = yield* waitFor(engine.readCacheEvents(lastSequence));
                    lastSequence = this.adoptCacheEvents(runner, events, lastSequence);
                }
                this.changed.set(this.changed.value + 1);
            }
            catch {
                // The report is late; routing goes on with the last one and with own counts.
            }
            polls += 1;
            yield* waitFor(this.options.clock.sleep(this.computePollMs(), signal));
        }
    }

    /** Pause between polls of one runner, so that all runners together stay within the budget. */
    private computePollMs(): number {
        const maxPolls = this.options.maxPollsPerSecond ?? defaultMaxPollsPerSecond;
        return Math.max(this.options.loadPollMs, this.pollTasks.size * msPerSecond / maxPolls);
    }

    private adoptCacheEvents(runner: Runner, events: readonly CacheEvent[], lastSequence: number): number {
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

    private toView(runner: Runner, cachedTokens: number, admitShare: number): RunnerView {
        const load = runner.estimatedLoad;
        const running = Math.min(load, runner.slots);
        return {
            id: runner.id,
            dataCentre: runner.vm.dataCentre,
            running,
            queued: load - running,
            reportedLoad: runner.reportedLoad,
            ownRequests: runner.inFlight,
            nodeCount: this.countSharers(runner.vm.service),
            slots: runner.slots,
            cachedTokens: cachedTokens - cachedTokens % tokensPerBlock,
            prefillMsPerToken: runner.latency.prefillMsPerToken,
            betweenTokensMs: runner.latency.predictBetweenTokensMs(running + 1),
            serviceMs: runner.latency.serviceMs,
            trafficShare: admitShare,
        };
    }

    /** Number of nodes that use the same runner, when each follows a part of a service's runners. */
    private countSharers(service: string): number {
        const members = this.options.countMembers?.() ?? 1;
        return Math.max(1, members * (this.followedShares.get(service) ?? 1));
    }
}

/** Name of the upstream registry service. */
export const upstreamRegistryName = createServiceName<UpstreamRegistry>("upstream-registry");
