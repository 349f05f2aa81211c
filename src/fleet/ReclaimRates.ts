import type { Clock } from "../kernel/types";
import type { Vm } from "../platform/types";

const msPerHour = 3_600_000;
const decayHours = 6; // time constant of the exponential decay of older observations
const maxCountedVmIds = 10_000;

interface Observation {
    vmHours: number;
    reclaims: number;
}

/** Estimates the share of reclaimable VMs that is reclaimed per hour in each data centre. */
export class ReclaimRates {
    private readonly observations = new Map<string, Observation>();
    private readonly countedVmIds = new Set<string>();
    private lastRecordedMs: number;

    constructor(private readonly clock: Clock) {
        this.lastRecordedMs = clock.readMonotonicMs();
    }

    /** Records a reclaim notice; each VM counts once. */
    recordNotice(vmId: string, dataCentre: string): void {
        if (this.countedVmIds.has(vmId)) {
            return;
        }
        this.countedVmIds.add(vmId);
        if (this.countedVmIds.size > maxCountedVmIds) {
            this.countedVmIds.delete(this.countedVmIds.values().next().value!);
        }
        this.getOrCreateObservation(dataCentre).reclaims += 1;
    }

    /** Decays older observations and adds the time since the last call for each running reclaimable VM. */
    recordRunningVms(vms: readonly Vm[]): void {
        const nowMs = this.clock.readMonotonicMs();
        const hours = (nowMs - this.lastRecordedMs) / msPerHour;
        this.lastRecordedMs = nowMs;
        for (const observation of this.observations.values()) {
            const decay = Math.exp(-hours / decayHours);
            observation.vmHours *= decay;
            observation.reclaims *= decay;
        }
        for (const vm of vms) {
            if (vm.market === "reclaimable") {
                this.getOrCreateObservation(vm.dataCentre).vmHours += hours;
            }
        }
    }

    /** Computes the share of reclaimable VMs that is reclaimed per hour, by data centre. */
    computeRates(): Map<string, number> {
        const priorHours = 1; // one early reclaim must not yield a high rate
        return new Map([...this.observations].map(([dataCentre, { vmHours, reclaims }]) => [
            dataCentre,
            reclaims / (vmHours + priorHours),
        ]));
    }

    private getOrCreateObservation(dataCentre: string): Observation {
        const observation = this.observations.get(dataCentre) ?? { vmHours: 0, reclaims: 0 };
        this.observations.set(dataCentre, observation);
        return observation;
    }
}
