import type { Clock } from "../kernel/types";

/** Options of {@link EjectionTracker}. */
export interface EjectionTrackerOptions {
    readonly clock: Clock;
    /** Number of consecutive failures that ejects a runner; default 3. */
    readonly consecutiveFailures?: number;
    /** Duration of the first ejection, in milliseconds; doubled for each repeated one. Default 2,000. */
    readonly baseEjectionMs?: number;
    /** Maximum duration of an ejection, in milliseconds; default 60,000. */
    readonly maxEjectionMs?: number;
    /** Time over which the traffic share of a runner grows to 1 after an ejection, in milliseconds; default 10,000. */
    readonly rampUpMs?: number;
    /** Maximum share of a service's runners that may be ejected at the same time; default 0.34. */
    readonly maxEjectedShare?: number;
}

interface RunnerHealth {
    failures: number;
    ejections: number;
    ejectedUntilMs: number;
}

const minRampUpShare = 0.1;

/** Ejects failing runners for a time, limited to a share of all runners, and ramps up their traffic afterwards. */
export class EjectionTracker {
    private readonly health = new Map<string, RunnerHealth>();
    private readonly options: Required<EjectionTrackerOptions>;

    constructor(options: EjectionTrackerOptions) {
        this.options = {
            consecutiveFailures: 3,
            baseEjectionMs: 2_000,
            maxEjectionMs: 60_000,
            rampUpMs: 10_000,
            maxEjectedShare: 0.34,
            ...options,
        };
    }

    /** Records a success. If the runner is back at its full traffic share, its past ejections are cleared. */
    recordSuccess(runnerId: string): void {
        const health = this.health.get(runnerId);
        if (!health) {
            return;
        }
        health.failures = 0;
        if (this.computeTrafficShare(runnerId) >= 1) {
            this.health.delete(runnerId);
        }
    }

    /**
     * Records a failure.
     *
     * @param runnerId - id of the runner
     * @param runnerCount - number of runners of its service
     * @returns whether this failure ejected the runner
     */
    recordFailure(runnerId: string, runnerCount: number): boolean {
        const health = this.health.get(runnerId) ?? { failures: 0, ejections: 0, ejectedUntilMs: -Infinity };
        this.health.set(runnerId, health);
        health.failures += 1;
        const allowed = Math.floor(runnerCount * this.options.maxEjectedShare);
        if (health.failures < this.options.consecutiveFailures || this.countEjected() >= allowed) {
            return false;
        }
        const durationMs = this.options.baseEjectionMs * 2 ** health.ejections;
        health.ejectedUntilMs = this.options.clock.readMonotonicMs()
            + Math.min(durationMs, this.options.maxEjectionMs);
        health.ejections += 1;
        health.failures = 0;
        return true;
    }

    /** Computes the share of its usual traffic that a runner may get: 0 while ejected, then growing to 1. */
    computeTrafficShare(runnerId: string): number {
        const health = this.health.get(runnerId);
        if (!health || health.ejections === 0) {
            return 1;
        }
        const sinceEjectionEndMs = this.options.clock.readMonotonicMs() - health.ejectedUntilMs;
        if (sinceEjectionEndMs < 0) {
            return 0;
        }
        return Math.min(1, Math.max(minRampUpShare, sinceEjectionEndMs / this.options.rampUpMs));
    }

    /** Removes the state of a runner that is gone. */
    remove(runnerId: string): void {
        this.health.delete(runnerId);
    }

    private countEjected(): number {
        const nowMs = this.options.clock.readMonotonicMs();
        return [...this.health.values()].filter(health => health.ejectedUntilMs > nowMs).length;
    }
}
