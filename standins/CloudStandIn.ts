import type { IncomingMessage } from "node:http";
import type { ReclaimNotice, Vm, VmOffer, VmRequest } from "../src/platform/types";
import { type Fault, StandInServer } from "./StandInServer";

/** Options of {@link CloudStandIn}. */
export interface CloudStandInOptions {
    /** Delay until a change appears in the VM list, in milliseconds; default 500. */
    readonly listLagMs?: number;
    readonly offers?: readonly VmOffer[];
    /** Creates a requested VM; resolves to undefined when the request is refused. */
    readonly createVm?: (request: VmRequest) => Promise<Vm | undefined>;
    /** Called once when a VM ends, whether reclaimed, released or terminated. */
    readonly onVmEnd?: (vm: Vm) => void;
}

interface ListedVm {
    readonly vm: Vm;
    readonly createdAtMs: number;
    endedAtMs: number | undefined;
    reclaimAtMs: number | undefined;
}

const defaultListLagMs = 500;

/** Stand-in for the cloud API: a VM list that lags, reclaim notices, offers, and requests and releases of VMs. */
export class CloudStandIn {
    readonly server = new StandInServer((request, _response, body) => this.handle(request, body));
    private readonly vms = new Map<string, ListedVm>();
    private readonly vmsByToken = new Map<string, Vm | undefined>();
    private readonly timers = new Set<NodeJS.Timeout>();
    /** Whether requests for new VMs are refused. */
    refusesVms = false;

    constructor(private readonly options: CloudStandInOptions = {}) {
        this.server.onReclaim = fault => this.reclaimMatching(fault);
    }

    /** Adds a VM that appears in the VM list without the list's lag. */
    addVm(vm: Vm): void {
        this.vms.set(vm.id, { vm, createdAtMs: 0, endedAtMs: undefined, reclaimAtMs: undefined });
    }

    /** Announces the reclaim of a VM and ends the VM after the notice period. */
    reclaim(vmId: string, noticeMs: number): void {
        const listed = this.vms.get(vmId);
        if (!listed || listed.reclaimAtMs !== undefined) {
            return;
        }
        listed.reclaimAtMs = Date.now() + noticeMs;
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            this.endVm(vmId);
        }, noticeMs);
        this.timers.add(timer);
    }

    /** Whether a VM is running and no reclaim of it is announced. */
    isLive(vmId: string): boolean {
        const listed = this.vms.get(vmId);
        return listed !== undefined && listed.reclaimAtMs === undefined && listed.endedAtMs === undefined;
    }

    /** Ends a VM immediately, without notice. */
    endVm(vmId: string): void {
        const listed = this.vms.get(vmId);
        if (listed && listed.endedAtMs === undefined) {
            listed.endedAtMs = Date.now();
            this.options.onVmEnd?.(listed.vm);
        }
    }

    async stop(): Promise<void> {
        this.timers.forEach(timer => clearTimeout(timer));
        await this.server.stop();
    }

    /**
     * Reclaims the VM or all VMs of the data centre that the fault names. If it names neither, all VMs in the data
     * centre of the first live VM are reclaimed.
     */
    private reclaimMatching(fault: Fault): void {
        const firstLive = [...this.vms.values()].find(({ vm }) => this.isLive(vm.id));
        const isNamed = fault.vmId !== undefined || fault.dataCentre !== undefined;
        const dataCentre = isNamed ? fault.dataCentre : firstLive?.vm.dataCentre;
        for (const { vm } of this.vms.values()) {
            if (vm.id === fault.vmId || vm.dataCentre === dataCentre) {
                this.reclaim(vm.id, fault.ms ?? 0);
            }
        }
    }

    private async handle(request: IncomingMessage, body: Buffer): Promise<unknown> {
        const path = request.url ?? "/";
        if (request.method === "POST" && path === "/vms") {
            return { vm: await this.requestVm(JSON.parse(body.toString("utf8")) as VmRequest) };
        }
        if (request.method === "DELETE") {
            this.endVm(decodeURIComponent(path.slice("/vms/".length)));
            return {};
        }
        switch (path) {
            case "/vms":
                return { vms: this.listVms() };
            case "/notices":
                return { notices: this.listNotices() };
            case "/offers":
                return { offers: this.options.offers ?? [] };
        }
        throw new Error(`path "${path}" does not exist`);
    }

    private listVms(): Vm[] {
        const listedAtMs = Date.now() - (this.options.listLagMs ?? defaultListLagMs);
        return [...this.vms.values()]
            .filter(listed => listed.createdAtMs <= listedAtMs)
            .filter(listed => listed.endedAtMs === undefined || listed.endedAtMs > listedAtMs)
            .map(listed => ({ ...listed.vm, state: listed.reclaimAtMs === undefined ? "live" : "leaving" }));
    }

    private listNotices(): ReclaimNotice[] {
        const nowMs = Date.now();
        return [...this.vms.values()]
            .filter(listed => listed.reclaimAtMs !== undefined && listed.endedAtMs === undefined)
            .map(({ vm, reclaimAtMs }) => ({
                vmId: vm.id,
                dataCentre: vm.dataCentre,
                remainingMs: Math.max(0, reclaimAtMs! - nowMs),
            }));
    }

    private async requestVm(request: VmRequest): Promise<Vm | undefined> {
        if (this.vmsByToken.has(request.token)) {
            return this.vmsByToken.get(request.token);
        }
        const vm = this.refusesVms ? undefined : await this.options.createVm?.(request);
        this.vmsByToken.set(request.token, vm);
        if (vm) {
            this.vms.set(vm.id, {
                vm,
                createdAtMs: Date.now(),
                endedAtMs: undefined,
                reclaimAtMs: undefined,
            });
        }
        return vm;
    }
}
