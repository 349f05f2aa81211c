import type { Vm, VmMarket, VmOffer } from "../src/platform/types";
import { CloudStandIn } from "./CloudStandIn";
import { EngineStandIn, type EngineStandInOptions } from "./EngineStandIn";
import { ObjectStandIn } from "./ObjectStandIn";
import { PlainStandIn } from "./PlainStandIn";
import { TableStandIn } from "./TableStandIn";

/** A runner of the stand-in cluster. */
export interface StandInRunner {
    readonly vm: Vm;
    readonly engine?: EngineStandIn;
    readonly plain?: PlainStandIn;
}

/** Options of {@link StandInCluster}. */
export interface StandInClusterOptions {
    /** Model runners by service and data centre. */
    readonly modelRunners: readonly { readonly service: string; readonly dataCentre: string; }[];
    /** Plain runners by service and data centre. */
    readonly plainRunners: readonly { readonly service: string; readonly dataCentre: string; }[];
    readonly engine?: EngineStandInOptions;
    readonly listLagMs?: number;
    readonly offers?: readonly VmOffer[];
}

/** All stand-ins of one cluster, in one process, on free loopback ports. */
export class StandInCluster {
    readonly tables = new TableStandIn();
    readonly objects = new ObjectStandIn();
    readonly cloud: CloudStandIn;
    readonly runners: StandInRunner[] = [];
    /** Told when an entry VM is taken. */
    onEntryVmEnd: (nodeId: string) => void = () => {};

    constructor(private readonly options: StandInClusterOptions) {
        this.cloud = new CloudStandIn({
            listLagMs: options.listLagMs,
            offers: options.offers,
            createVm: async request =>
                (await this.addEngine(request.service, request.dataCentre, request.market)).vm,
            onVmEnd: vm => this.endVm(vm),
        });
    }

    async start(): Promise<void> {
        await Promise.all([
            this.tables.server.start(),
            this.objects.server.start(),
            this.cloud.server.start(),
        ]);
        for (const { service, dataCentre } of this.options.modelRunners) {
            await this.addEngine(service, dataCentre);
        }
        for (const { service, dataCentre } of this.options.plainRunners) {
            await this.addPlain(service, dataCentre);
        }
    }

    async stop(): Promise<void> {
        await Promise.all(this.runners.map(runner => this.stopRunner(runner)));
        await Promise.all([this.tables.server.stop(), this.objects.server.stop(), this.cloud.stop()]);
    }

    /** Lists an entry VM for a node. */
    addEntry(nodeId: string, dataCentre: string, peersUrl: string): void {
        this.cloud.addVm({
            id: `vm-${nodeId}`,
            role: "entry",
            service: nodeId,
            dataCentre,
            url: peersUrl,
            state: "live",
            market: "reclaimable",
            machineClass: "entry-small",
        });
    }

    /** Whether a VM is neither taken nor about to be. */
    isLive(vmId: string): boolean {
        return this.cloud.isLive(vmId);
    }

    async addEngine(
        service: string,
        dataCentre: string,
        market: VmMarket = "reclaimable",
    ): Promise<StandInRunner> {
        const engine = new EngineStandIn(this.options.engine);
        await engine.server.start();
        const runner = { vm: this.createVm(service, dataCentre, engine.server.url, "gpu-a", market), engine };
        engine.server.onReclaim = fault => this.cloud.reclaim(runner.vm.id, fault.ms ?? 0);
        return this.list(runner);
    }

    async addPlain(service: string, dataCentre: string): Promise<StandInRunner> {
        const plain = new PlainStandIn(`${service}-${this.runners.length}`);
        await plain.server.start();
        const runner = { vm: this.createVm(service, dataCentre, plain.server.url, "cpu-a"), plain };
        plain.server.onReclaim = fault => this.cloud.reclaim(runner.vm.id, fault.ms ?? 0);
        return this.list(runner);
    }

    private list(runner: StandInRunner): StandInRunner {
        this.runners.push(runner);
        this.cloud.addVm(runner.vm);
        return runner;
    }

    private createVm(
        service: string,
        dataCentre: string,
        url: string,
        machineClass: string,
        market: VmMarket = "reclaimable",
    ): Vm {
        const id = `vm-${service}-${this.runners.length}`;
        return {
            id,
            role: "upstream",
            service,
            dataCentre,
            url,
            state: "live",
            market,
            machineClass,
        };
    }

    private endVm(vm: Vm): void {
        if (vm.role === "entry") {
            this.onEntryVmEnd(vm.service);
            return;
        }
        const runner = this.runners.find(candidate => candidate.vm.id === vm.id);
        if (runner) {
            void this.stopRunner(runner);
        }
    }

    private async stopRunner(runner: StandInRunner): Promise<void> {
        await runner.engine?.stop().catch(() => {});
        await runner.plain?.server.stop().catch(() => {});
    }
}
