import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { GossipMap } from "../peers/GossipMap";
import type { Cloud, ReclaimNotice, Vm, VmOffer } from "../platform/types";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { Membership } from "./Membership";
import { isPoller } from "./isPoller";

/** Options of {@link CloudPoller}. */
export interface CloudPollerOptions {
    readonly nodeId: string;
    readonly cloud: Cloud;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly gossip: GossipMap;
    readonly membership: Membership;
    readonly pollMs: number;
}

/** A reclaim notice as the gossip map holds it. */
export interface ScheduledReclaim {
    readonly vmId: string;
    readonly dataCentre: string;
    /** Wall-clock time at which the VM is taken, in milliseconds. */
    readonly takenAtMs: number;
}

const listPauseMsPerVm = 23; // a listed VM has 186 bytes; this keeps the list within 8 KB/s at any size
const offersPollFactor = 20; // prices change slowly

/** Reads the cloud's VM list, notices and prices on a few nodes and spreads them to all. */
export class CloudPoller {
    private readonly scope: TaskScope;
    private offers: readonly VmOffer[] = [];
    private pollsSinceOffers = 0;
    private nextListMs = -Infinity;
    private failing = false;

    constructor(private readonly options: CloudPollerOptions) {
        this.scope = createLoggedTaskScope(options.events);
    }

    /** Reads the list once, if it can be had, and goes on in the background. */
    async start(): Promise<void> {
        await this.poll();
        this.scope.run("cloud-watch", signal => this.watch(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    private *watch(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(this.options.pollMs, signal));
            if (isPoller({ ...this.options, duty: "cloud" })) {
                yield* waitFor(this.poll());
            }
        }
    }

    /** Reads the notices, and the VM list when it is due. */
    private async poll(): Promise<void> {
        try {
            const { cloud, clock } = this.options;
            const listIsDue = clock.readMonotonicMs() >= this.nextListMs;
            const [notices, vms] = await Promise.all([
                cloud.listNotices(),
                listIsDue ? cloud.listVms() : undefined,
            ]);
            if (vms) {
                this.nextListMs = clock.readMonotonicMs() + vms.length * listPauseMsPerVm;
                this.adoptVms(vms);
            }
            this.adoptNotices(notices);
            await this.pollOffers();
            if (this.failing) {
                this.options.events.emit(eventKinds.storeRecovered, { store: "cloud" });
            }
            this.failing = false;
        }
        catch (error) {
            if (!this.failing) {
                this.options.events.emit(eventKinds.storeFailed, { store: "cloud", error: String(error) });
            }
            this.failing = true;
        }
    }

    private async pollOffers(): Promise<void> {
        this.pollsSinceOffers -= 1;
        if (this.pollsSinceOffers > 0) {
            return;
        }
        this.pollsSinceOffers = offersPollFactor;
        const offers = await this.options.cloud.listOffers();
        if (JSON.stringify(offers) !== JSON.stringify(this.offers)) {
            this.offers = offers;
            this.options.gossip.set("offers", offers);
        }
    }

    private adoptVms(vms: readonly Vm[]): void {
        const writes: { key: string; value: unknown; }[] = [];
        const listed = new Set(vms.map(vm => vm.id));
        for (const vm of vms) {
            const known = this.options.gossip.get(`vm/${vm.id}`);
            if (JSON.stringify(known) !== JSON.stringify(vm)) {
                writes.push({ key: `vm/${vm.id}`, value: vm });
            }
        }
        for (const known of this.options.gossip.listValues<Vm>("vm/")) {
            if (!listed.has(known.id)) {
                writes.push({ key: `vm/${known.id}`, value: undefined });
            }
        }
        if (writes.length > 0) {
            this.options.gossip.setAll(writes);
        }
    }

    private adoptNotices(notices: readonly ReclaimNotice[]): void {
        const listed = new Set(notices.map(notice => notice.vmId));
        const writes: { key: string; value: unknown; }[] = notices
            .filter(notice => this.options.gossip.get(`notice/${notice.vmId}`) === undefined)
            .map(notice => ({ key: `notice/${notice.vmId}`, value: this.toKnownNotice(notice) }));
        for (const known of this.options.gossip.listValues<ScheduledReclaim>("notice/")) {
            if (!listed.has(known.vmId)) {
                writes.push({ key: `notice/${known.vmId}`, value: undefined });
            }
        }
        if (writes.length > 0) {
            this.options.gossip.setAll(writes);
        }
    }

    private toKnownNotice(notice: ReclaimNotice): ScheduledReclaim {
        return {
            vmId: notice.vmId,
            dataCentre: notice.dataCentre,
            takenAtMs: this.options.clock.readWallMs() + notice.remainingMs,
        };
    }
}

/** Name of the cloud watch service. */
export const cloudPollerName = createServiceName<CloudPoller>("cloud-watch");
