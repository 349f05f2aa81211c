import type { Clock } from "../../src/kernel/types";
import type {
    Cloud,
    DutyStages,
    ReclaimNotice,
    Vm,
    VmMarket,
    VmOffer,
    VmRequest,
} from "../../src/platform/types";
import type { GossipMap } from "../../src/peers/GossipMap";
import type { FakeEngine } from "./FakeEngine";

/** Options of {@link FakeCloud}. */
export interface FakeCloudOptions {
    readonly clock: Clock;
    readonly gossip: GossipMap;
    readonly offers: readonly VmOffer[];
    readonly createEngine: () => FakeEngine;
    /** Time from the request for a VM until it is listed as running, in milliseconds. */
    readonly vmStartMs: number;
}

interface VmRecord {
    readonly vm: Vm;
    readonly engine: FakeEngine;
    readonly startedAtMs: number;
    endedAtMs: number | undefined;
}

const noticeDelayMs = 500; // from the cloud's notice until the nodes see it in the gossip map
const msPerHour = 3_600_000;

/** Simulates a cloud in memory and virtual time. VMs, notices and offers go into the gossip map without polling. */
export class FakeCloud implements Cloud {
    /** Engines by VM identifier, including those of ended VMs. */
    readonly engines = new Map<string, FakeEngine>();
    /** Whether requests for VMs are refused. */
    refusesVms = false;
    private readonly vmRecords = new Map<string, VmRecord>();
    private readonly vmsByRequestToken = new Map<string, Vm>();
    private vmCount = 0;

    constructor(private readonly options: FakeCloudOptions) {
        options.gossip.set("offers", options.offers);
    }

    /**
     * Starts a VM and its engine immediately.
     *
     * @param dataCentre - the VM's data centre
     * @param market - the VM's market
     * @param isListed - whether the nodes see the VM at once
     */
    addVm(dataCentre: string, market: VmMarket, isListed = true): Vm {
        this.vmCount += 1;
        const vm: Vm = {
            id: `vm-${this.vmCount}`,
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
        this.vmRecords.set(vm.id, {
            vm,
            engine,
            startedAtMs: this.options.clock.readMonotonicMs(),
            endedAtMs: undefined,
        });
        if (isListed) {
            this.options.gossip.set(`vm/${vm.id}`, vm);
        }
        return vm;
    }

    /**
     * Reclaims every reclaimable VM that is running in a data centre.
     *
     * @param dataCentre - its name
     * @param noticeMs - time from the notice until the VMs end, at least the delay of notices (500 ms)
     */
    async reclaimDataCentre(dataCentre: string, noticeMs: number): Promise<void> {
        const { clock, gossip } = this.options;
        const reclaimed = [...this.vmRecords.values()]
            .filter(({ vm, endedAtMs }) =>
                vm.dataCentre === dataCentre && vm.market === "reclaimable" && endedAtMs === undefined
            );
        const takenAtMs = clock.readWallMs() + noticeMs;
        await clock.sleep(noticeDelayMs);
        gossip.setAll(reclaimed.map(({ vm }) => ({
            key: `notice/${vm.id}`,
            value: { vmId: vm.id, dataCentre, takenAtMs },
        })));
        await clock.sleep(noticeMs - noticeDelayMs);
        reclaimed.forEach(({ vm }) => this.endVm(vm.id));
    }

    /**
     * Computes the cost of all VMs for the time that they ran.
     *
     * @param fromMs - monotonic time before which nothing is charged, in milliseconds
     * @returns cost in the currency of the offers
     */
    computeCost(fromMs: number): number {
        const nowMs = this.options.clock.readMonotonicMs();
        return [...this.vmRecords.values()].reduce((sum, { vm, startedAtMs, endedAtMs }) => {
            const offer = this.options.offers.find(candidate =>
                candidate.dataCentre === vm.dataCentre && candidate.market === vm.market
            )!;
            const ranMs = Math.max(0, (endedAtMs ?? nowMs) - Math.max(startedAtMs, fromMs));
            return sum + offer.pricePerHour * ranMs / msPerHour;
        }, 0);
    }

    async listVms(): Promise<readonly Vm[]> {
        return [...this.vmRecords.values()].filter(({ endedAtMs }) => endedAtMs === undefined).map((
            { vm },
        ) => vm);
    }

    async listNotices(): Promise<readonly ReclaimNotice[]> {
        return [];
    }

    async listOffers(): Promise<readonly VmOffer[]> {
        return this.options.offers;
    }

    async requestVm(request: VmRequest, stages: DutyStages): Promise<Vm | undefined> {
        await stages.onConnected();
        stages.onWrite();
        if (this.refusesVms) {
            return undefined;
        }
        const existing = this.vmsByRequestToken.get(request.token);
        if (existing) {
            return existing;
        }
        const vm = this.addVm(request.dataCentre, request.market, false);
        this.vmsByRequestToken.set(request.token, vm);
        void this.options.clock.sleep(this.options.vmStartMs).then(() =>
            this.options.gossip.set(`vm/${vm.id}`, vm)
        );
        return vm;
    }

    async releaseVm(vmId: string, stages: DutyStages): Promise<void> {
        await stages.onConnected();
        stages.onWrite();
        this.endVm(vmId);
    }

    private endVm(vmId: string): void {
        const record = this.vmRecords.get(vmId);
        if (record && record.endedAtMs === undefined) {
            record.endedAtMs = this.options.clock.readMonotonicMs();
            this.options.gossip.setAll([
                { key: `vm/${vmId}`, value: undefined },
                { key: `notice/${vmId}`, value: undefined },
            ]);
            record.engine.kill();
        }
    }
}
