import type { Vm, VmMarket, VmOffer } from "../src/platform/types";
import { CloudStandIn } from "./CloudStandIn";
import { EngineStandIn, type EngineStandInOptions } from "./EngineStandIn";
import { ObjectStandIn } from "./ObjectStandIn";
import { PlainStandIn } from "./PlainStandIn";
import { TableStandIn } from "./TableStandIn";

/** An upstream VM of the stand-in cluster with the stand-in that runs on it: an engine or a plain service. */
export interface StandInRunner {
    readonly vm: Vm;
    readonly engine?: EngineStandIn;
    readonly plain?: PlainStandIn;
}

/** Options of {@link StandInCluster}. */
export interface StandInClusterOptions {
    /** Model runners to start; one per entry. */
    readonly modelRunners: readonly { readonly service: string; readonly dataCentre: string; }[];
    /** Runners of plain services to start; one per entry. */
    readonly plainRunners: readonly { readonly service: string; readonly dataCentre: string; }[];
    readonly engine?: EngineStandInOptions;
    readonly listLagMs?: number;
    readonly offers?: readonly VmOffer[];
}

/** All stand-ins of one cluster in one process, on free loopback ports. */
export class StandInCluster {
    readonly tables = new TableStandIn();
    readonly objects = new ObjectStandIn();
    readonly cloud: CloudStandIn;
    readonly runners: StandInRunner[] = [];
    /** Called with the node's ID when an entry VM ends. */
    onEntryVmEnd: (nodeId: string) => void = () => {};

    constructor(private readonly options: StandInClusterOptions) {
        this.cloud = new CloudStandIn({
            listLagMs: options.listLagMs,
            offers: options.offers,
            createVm: async request =>
                (await this.addEngine(request.service, request.dataCentre, request.market)).vm,
            onVmEnd: vm => this.handleVmEnd(vm),
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

    /** Adds the entry VM of a node to the cloud's list. */
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

    /** Whether a VM is running and no reclaim of it is announced. */
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
        const runner = {
            vm: this.createUpstreamVm(service, dataCentre, engine.server.url, "gpu-a", market),
            engine,
        };
        engine.server.onReclaim = fault => this.cloud.reclaim(runner.vm.id, fault.ms ?? 0);
        return this.addRunner(runner);
    }

    async addPlain(service: string, dataCentre: string): Promise<StandInRunner> {
        const plain = new PlainStandIn(`${service}-${this.runners.length}`);
        await plain.server.start();
        const runner = { vm: this.createUpstreamVm(service, dataCentre, plain.server.url, "cpu-a"), plain };
        plain.server.onReclaim = fault => this.cloud.reclaim(runner.vm.id, fault.ms ?? 0);
        return this.addRunner(runner);
    }

    private addRunner(runner: StandInRunner): StandInRunner {
        this.runners.push(runner);
        this.cloud.addVm(runner.vm);
        return runner;
    }

    private createUpstreamVm(
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

    private handleVmEnd(vm: Vm): void {
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
