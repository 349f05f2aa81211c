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

/** A reclaim notice in the gossip map; unlike the cloud's, it has an absolute time. */
export interface ScheduledReclaim {
    readonly vmId: string;
    readonly dataCentre: string;
    /** Wall-clock time at which the cloud takes the VM away, in milliseconds. */
    readonly takenAtMs: number;
}

const listPauseMsPerVm = 23; // at 186 bytes a VM, limits the traffic of VM lists to 8 KB/s at any cluster size
const pollsPerOfferPoll = 20; // prices change slowly

/**
 * Polls the cloud for VMs, reclaim notices and prices, and publishes changes in the gossip map. Only a few nodes poll
 * at a time; see {@link isPoller}.
 */
export class CloudPoller {
    private readonly scope: TaskScope;
    private offers: readonly VmOffer[] = [];
    private pollsUntilOffers = 0;
    /** Monotonic time from which the VM list may be read again, in milliseconds. */
    private nextListMs = -Infinity;
    private isFailing = false;

    constructor(private readonly options: CloudPollerOptions) {
        this.scope = createLoggedTaskScope(options.events);
    }

    /** Polls once, whether or not that succeeds, and continues in the background. */
    async start(): Promise<void> {
        await this.poll();
        this.scope.run("cloud-watch", signal => this.pollPeriodically(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    private *pollPeriodically(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(this.options.pollMs, signal));
            if (isPoller({ ...this.options, job: "cloud" })) {
                yield* waitFor(this.poll());
            }
        }
    }

    /** Reads the reclaim notices, and the VM list and the prices when they are due. */
    private async poll(): Promise<void> {
        try {
            const { cloud, clock } = this.options;
            const isListDue = clock.readMonotonicMs() >= this.nextListMs;
            const [notices, vms] = await Promise.all([
                cloud.listNotices(),
                isListDue ? cloud.listVms() : undefined,
            ]);
            if (vms) {
                this.nextListMs = clock.readMonotonicMs() + vms.length * listPauseMsPerVm;
                this.publishVms(vms);
            }
            this.publishNotices(notices);
            await this.pollOffers();
            if (this.isFailing) {
                this.options.events.emit(eventKinds.storeRecovered, { store: "cloud" });
            }
            this.isFailing = false;
        }
        catch (error) {
            if (!this.isFailing) {
                this.options.events.emit(eventKinds.storeFailed, { store: "cloud", error: String(error) });
            }
            this.isFailing = true;
        }
    }

    private async pollOffers(): Promise<void> {
        this.pollsUntilOffers -= 1;
        if (this.pollsUntilOffers > 0) {
            return;
        }
        this.pollsUntilOffers = pollsPerOfferPoll;
        const offers = await this.options.cloud.listOffers();
        if (JSON.stringify(offers) !== JSON.stringify(this.offers)) {
            this.offers = offers;
            this.options.gossip.set("offers", offers);
        }
    }

    /** Publishes new and changed VMs and removes the entries of VMs that are no longer listed. */
    private publishVms(vms: readonly Vm[]): void {
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

    /** Publishes new notices and removes the entries of notices that are no longer listed. */
    private publishNotices(notices: readonly ReclaimNotice[]): void {
        const listed = new Set(notices.map(notice => notice.vmId));
        const writes: { key: string; value: unknown; }[] = notices
            .filter(notice => this.options.gossip.get(`notice/${notice.vmId}`) === undefined)
            .map(notice => ({ key: `notice/${notice.vmId}`, value: this.toScheduledReclaim(notice) }));
        for (const known of this.options.gossip.listValues<ScheduledReclaim>("notice/")) {
            if (!listed.has(known.vmId)) {
                writes.push({ key: `notice/${known.vmId}`, value: undefined });
            }
        }
        if (writes.length > 0) {
            this.options.gossip.setAll(writes);
        }
    }

    private toScheduledReclaim(notice: ReclaimNotice): ScheduledReclaim {
        return {
            vmId: notice.vmId,
            dataCentre: notice.dataCentre,
            takenAtMs: this.options.clock.readWallMs() + notice.remainingMs,
        };
    }
}

/** Name of the cloud poller service. */
export const cloudPollerName = createServiceName<CloudPoller>("cloud-watch");
