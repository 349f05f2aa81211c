import type { Clock } from "../../src/kernel/types";
import type { Cloud, ReclaimNotice, Vm, VmMarket, VmOffer, VmRequest } from "../../src/platform/types";
import type { GossipMap } from "../../src/peers/GossipMap";
import type { FakeEngine } from "./FakeEngine";

/** Options of {@link FakeCloud}. */
export interface FakeCloudOptions {
    readonly clock: Clock;
    readonly gossip: GossipMap;
    readonly offers: readonly VmOffer[];
    readonly createEngine: () => FakeEngine;
    /** Time from an order to a running VM, in milliseconds. */
    readonly vmStartMs: number;
}

interface OwnedVm {
    readonly vm: Vm;
    readonly engine: FakeEngine;
    readonly sinceMs: number;
    untilMs: number | undefined;
}

const noticeDelayMs = 500; // until the nodes know a notice
const msPerHour = 3_600_000;

/** Cloud in memory and virtual time; what the nodes would learn by polling it writes into the gossip map. */
export class FakeCloud implements Cloud {
    readonly engines = new Map<string, FakeEngine>();
    refusesVms = false;
    private readonly owned = new Map<string, OwnedVm>();
    private readonly orders = new Map<string, Vm>();
    private count = 0;

    constructor(private readonly options: FakeCloudOptions) {
        options.gossip.set("offers", options.offers);
    }

    /** Starts a VM at once. */
    addVm(dataCentre: string, market: VmMarket, isListed = true): Vm {
        this.count += 1;
        const vm: Vm = {
            id: `vm-${this.count}`,
            role: "upstream",
            service: "llm",
            dataCentre,
            url: "",
            state: "live",
            market,
            machineClass: "gpu-a",
        };
        const engine = this.options.createEngine();
        this.engines.set(vm.id, engine);
        this.owned.set(vm.id, {
            vm,
            engine,
            sinceMs: this.options.clock.readMonotonicMs(),
            untilMs: undefined,
        });
        if (isListed) {
            this.options.gossip.set(`vm/${vm.id}`, vm);
        }
        return vm;
    }

    /** Reclaims every reclaimable VM of a data centre. */
    async reclaimDataCentre(dataCentre: string, noticeMs: number): Promise<void> {
        const { clock, gossip } = this.options;
        const taken = [...this.owned.values()]
            .filter(({ vm, untilMs }) =>
                vm.dataCentre === dataCentre && vm.market === "reclaimable" && untilMs === undefined
            );
        const takenAtMs = clock.readWallMs() + noticeMs;
        await clock.sleep(noticeDelayMs);
        gossip.setAll(taken.map(({ vm }) => ({
            key: `notice/${vm.id}`,
            value: { vmId: vm.id, dataCentre, takenAtMs },
        })));
        await clock.sleep(noticeMs - noticeDelayMs);
        taken.forEach(({ vm }) => this.endVm(vm.id));
    }

    /** Price of all VMs over the time they ran, from a moment on. */
    computeCost(fromMs: number): number {
        const nowMs = this.options.clock.readMonotonicMs();
        return [...this.owned.values()].reduce((sum, { vm, sinceMs, untilMs }) => {
            const offer = this.options.offers.find(candidate =>
                candidate.dataCentre === vm.dataCentre && candidate.market === vm.market
            )!;
            const ranMs = Math.max(0, (untilMs ?? nowMs) - Math.max(sinceMs, fromMs));
            return sum + offer.pricePerHour * ranMs / msPerHour;
        }, 0);
    }

    async listVms(): Promise<readonly Vm[]> {
        return [...this.owned.values()].filter(({ untilMs }) => untilMs === undefined).map(({ vm }) => vm);
    }

    async listNotices(): Promise<readonly ReclaimNotice[]> {
        return [];
    }

    async listOffers(): Promise<readonly VmOffer[]> {
        return this.options.offers;
    }

    async requestVm(request: VmRequest): Promise<Vm | undefined> {
        if (this.refusesVms) {
            return undefined;
        }
        const before = this.orders.get(request.token);
        if (before) {
            return before;
        }
        const vm = this.addVm(request.dataCentre, request.market, false);
        this.orders.set(request.token, vm);
        void this.options.clock.sleep(this.options.vmStartMs).then(() =>
            this.options.gossip.set(`vm/${vm.id}`, vm)
        );
        return vm;
    }

    async releaseVm(vmId: string): Promise<void> {
        this.endVm(vmId);
    }

    private endVm(vmId: string): void {
        const owned = this.owned.get(vmId);
        if (owned && owned.untilMs === undefined) {
            owned.untilMs = this.options.clock.readMonotonicMs();
            this.options.gossip.setAll([
                { key: `vm/${vmId}`, value: undefined },
                { key: `notice/${vmId}`, value: undefined },
            ]);
            owned.engine.kill();
        }
    }
}
