import type { Clock } from "../kernel/types";

/** Options of {@link EjectionTracker}. */
export interface EjectionTrackerOptions {
    readonly clock: Clock;
    /** Failures in a row before a runner is ejected; default 3. */
    readonly consecutiveFailures?: number;
    /** First ejection, doubled for each further one in a row; default 2,000 ms. */
    readonly baseEjectionMs?: number;
    /** Longest ejection; default 60,000 ms. */
    readonly maxEjectionMs?: number;
    /** Time over which a returning runner's share grows to 1; default 10,000 ms. */
    readonly rampUpMs?: number;
    /** Largest share of a service's runners that may be ejected at once; default 0.34. */
    readonly maxEjectedShare?: number;
}

interface RunnerHealth {
    failures: number;
    ejections: number;
    ejectedUntilMs: number;
}

const lowestReturnShare = 0.1;

/** Takes failing runners out of use for a time, never more than a share of them, and brings them back slowly. */
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

    /** Notes a success; a runner that has fully returned is forgiven its ejections. */
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
     * Notes a failure.
     *
     * @param runnerId - the runner
     * @param runnerCount - number of runners of its service
     * @returns true when this failure ejected the runner
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

    /** Share of usual work that the runner may get: 0 while ejected, growing to 1 afterwards. */
    computeTrafficShare(runnerId: string): number {
        const health = this.health.get(runnerId);
        if (!health || health.ejections === 0) {
            return 1;
        }
        const sinceReturnMs = this.options.clock.readMonotonicMs() - health.ejectedUntilMs;
        if (sinceReturnMs < 0) {
            return 0;
        }
        return Math.min(1, Math.max(lowestReturnShare, sinceReturnMs / this.options.rampUpMs));
    }

    /** Forgets a runner that is gone. */
    remove(runnerId: string): void {
        this.health.delete(runnerId);
    }

    private countEjected(): number {
        const nowMs = this.options.clock.readMonotonicMs();
        return [...this.health.values()].filter(health => health.ejectedUntilMs > nowMs).length;
    }
}
