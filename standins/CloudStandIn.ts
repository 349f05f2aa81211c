import type { IncomingMessage } from "node:http";
import type { ReclaimNotice, Vm, VmOffer, VmRequest } from "../src/platform/types";
import { type Fault, StandInServer } from "./StandInServer";

/** Options of {@link CloudStandIn}. */
export interface CloudStandInOptions {
    /** How far the VM list lags, in milliseconds; default 500. */
    readonly listLagMs?: number;
    readonly offers?: readonly VmOffer[];
    /** Starts a VM that was requested; undefined refuses. */
    readonly createVm?: (request: VmRequest) => Promise<Vm | undefined>;
    /** Told when a VM is taken or released. */
    readonly onVmEnd?: (vm: Vm) => void;
}

interface ListedVm {
    readonly vm: Vm;
    readonly listedFromMs: number;
    endedAtMs: number | undefined;
    takenAtMs: number | undefined;
}

const defaultListLagMs = 500;

/** Stand-in of the cloud API: a lagging VM list, reclaim notices, offers and orders. */
export class CloudStandIn {
    readonly server = new StandInServer((request, _response, body) => this.answer(request, body));
    private readonly vms = new Map<string, ListedVm>();
    private readonly orders = new Map<string, Vm | undefined>();
    private readonly timers = new Set<NodeJS.Timeout>();
    /** Whether requests for VMs are refused. */
    refusesVms = false;

    constructor(private readonly options: CloudStandInOptions = {}) {
        this.server.onReclaim = fault => this.reclaimMatching(fault);
    }

    /** Lists a VM at once. */
    addVm(vm: Vm): void {
        this.vms.set(vm.id, { vm, listedFromMs: 0, endedAtMs: undefined, takenAtMs: undefined });
    }

    /** Announces that a VM will be taken, and takes it when the notice is over. */
    reclaim(vmId: string, noticeMs: number): void {
        const listed = this.vms.get(vmId);
        if (!listed || listed.takenAtMs !== undefined) {
            return;
        }
        listed.takenAtMs = Date.now() + noticeMs;
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            this.endVm(vmId);
        }, noticeMs);
        this.timers.add(timer);
    }

    /** Whether a VM is neither taken nor about to be. */
    isLive(vmId: string): boolean {
        const listed = this.vms.get(vmId);
        return listed !== undefined && listed.takenAtMs === undefined && listed.endedAtMs === undefined;
    }

    /** Ends a VM without notice. */
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

    /** Reclaims one VM, or a data centre's; without a name, the data centre of the first VM that is live. */
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

    private async answer(request: IncomingMessage, body: Buffer): Promise<unknown> {
        const path = request.url ?? "/";
        if (request.method === "POST" && path === "/vms") {
            return { vm: await this.order(JSON.parse(body.toString("utf8")) as VmRequest) };
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
        const seenAtMs = Date.now() - (this.options.listLagMs ?? defaultListLagMs);
        return [...this.vms.values()]
            .filter(listed => listed.listedFromMs <= seenAtMs)
            .filter(listed => listed.endedAtMs === undefined || listed.endedAtMs > seenAtMs)
            .map(listed => ({ ...listed.vm, state: listed.takenAtMs === undefined ? "live" : "leaving" }));
    }

    private listNotices(): ReclaimNotice[] {
        const nowMs = Date.now();
        return [...this.vms.values()]
            .filter(listed => listed.takenAtMs !== undefined && listed.endedAtMs === undefined)
            .map(({ vm, takenAtMs }) => ({
                vmId: vm.id,
                dataCentre: vm.dataCentre,
                remainingMs: Math.max(0, takenAtMs! - nowMs),
            }));
    }

    private async order(request: VmRequest): Promise<Vm | undefined> {
        if (this.orders.has(request.token)) {
            return this.orders.get(request.token);
        }
        const vm = this.refusesVms ? undefined : await this.options.createVm?.(request);
        this.orders.set(request.token, vm);
        if (vm) {
            this.vms.set(vm.id, { vm, listedFromMs: Date.now(), endedAtMs: undefined, takenAtMs: undefined });
        }
        return vm;
    }
}
