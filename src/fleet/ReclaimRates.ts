import type { Clock } from "../kernel/types";
import type { Vm } from "../platform/types";

const msPerHour = 3_600_000;
const memoryHours = 6; // older observations fade
const maxRememberedNotices = 10_000;

interface Observation {
    vmHours: number;
    reclaims: number;
}

/** Measures how many reclaimable VMs each data centre takes per hour. */
export class ReclaimRates {
    private readonly observations = new Map<string, Observation>();
    private readonly seenNotices = new Set<string>();
    private lastMs: number;

    constructor(private readonly clock: Clock) {
        this.lastMs = clock.readMonotonicMs();
    }

    /** Notes a reclaim notice; each VM counts once. */
    recordNotice(vmId: string, dataCentre: string): void {
        if (this.seenNotices.has(vmId)) {
            return;
        }
        this.seenNotices.add(vmId);
        if (this.seenNotices.size > maxRememberedNotices) {
            this.seenNotices.delete(this.seenNotices.values().next().value!);
        }
        this.openObservation(dataCentre).reclaims += 1;
    }

    /** Notes the VMs that run, for the time since the last call. */
    recordRunningVms(vms: readonly Vm[]): void {
        const nowMs = this.clock.readMonotonicMs();
        const hours = (nowMs - this.lastMs) / msPerHour;
        this.lastMs = nowMs;
        for (const observation of this.observations.values()) {
            const kept = Math.exp(-hours / memoryHours);
            observation.vmHours *= kept;
            observation.reclaims *= kept;
        }
        for (const vm of vms) {
            if (vm.market === "reclaimable") {
                this.openObservation(vm.dataCentre).vmHours += hours;
            }
        }
    }

    /** Share of reclaimable VMs taken per hour, by data centre. */
    computeRates(): Map<string, number> {
        const priorHours = 1; // keeps one early reclaim from looking like a rate
        return new Map([...this.observations].map(([dataCentre, { vmHours, reclaims }]) => [
            dataCentre,
            reclaims / (vmHours + priorHours),
        ]));
    }

    private openObservation(dataCentre: string): Observation {
        const observation = this.observations.get(dataCentre) ?? { vmHours: 0, reclaims: 0 };
        this.observations.set(dataCentre, observation);
        return observation;
    }
}
