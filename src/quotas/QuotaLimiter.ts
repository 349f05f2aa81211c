import { z } from "zod";
import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";
import type { PeerReports, ReportTopic } from "../peers/PeerReports";
import type { AccountQuota, ServedAccount } from "../routes/types";
import { SlidingWindowSum } from "./SlidingWindowSum";

/** Options of {@link QuotaLimiter}. */
export interface QuotaLimiterOptions {
    readonly clock: Clock;
    readonly reports: PeerReports;
    /** Unique for each process; distinguishes successive processes of one node. */
    readonly processId: string;
    /** Number of nodes that serve requests, including this one. */
    readonly countNodes: () => number;
    /** Finds the quota of an account in the active configuration. */
    readonly findQuota: (accountName: string) => AccountQuota | undefined;
    /** Length of the sliding window over which use is counted, in milliseconds. */
    readonly windowMs: number;
}

/** Whether a request is within the quota of its account. */
export type QuotaDecision =
    | { readonly kind: "granted"; readonly cost: number; }
    | { readonly kind: "exceeded"; readonly cost: number; readonly retryAfterMs: number; };

interface UseReport {
    readonly processId: string;
    /** Time since the process's start, in milliseconds. */
    readonly ageMs: number;
    /** Share of the limit that the process used in the last window, by account name. */
    readonly used: Readonly<Record<string, number>>;
}

interface ReceivedReport extends UseReport {
    readonly nodeId: string;
    /** Monotonic time of the report's arrival, in milliseconds. */
    readonly receivedMs: number;
}

const useTopic: ReportTopic<UseReport> = {
    name: "quota-use",
    schema: z.object({ processId: z.string(), ageMs: z.number(), used: z.record(z.number()) }),
};
const assumedBurstShare = 0.5; // of the burst; assumed use by a previous process right before it ended
const msPerSecond = 1_000;
const minRetryAfterMs = 100;
const maxRetryAfterMs = 2_000;

/**
 * Enforces the quota of each client account over all nodes. The limit for any window is the number of units that the
 * rate allows in it plus the burst.
 *
 * - Use is counted as a share of the limit, so it stays comparable when the limit changes.
 * - Each node reports its own use of the last window, and adds the last reports of the other nodes to its own use. The
 *   last report of an ended process counts for one more window.
 * - For the time since its last report, another node is assumed to have used as much as this node. Partitioned nodes
 *   therefore stay within the quota together.
 * - Use is not persisted. A new process is therefore assumed to have used its part of the limit before its start.
 */
export class QuotaLimiter {
    private readonly sums = new Map<string, SlidingWindowSum>();
    private readonly receivedReports = new Map<string, ReceivedReport>();
    private readonly startedAtMs: number;

    constructor(private readonly options: QuotaLimiterOptions) {
        this.startedAtMs = options.clock.readMonotonicMs();
    }

    async start(): Promise<void> {
        this.options.reports.exchange(
            useTopic,
            () => this.createReport(),
            (nodeId, report) => this.mergeReport(nodeId, report),
        );
    }

    /**
     * Charges the cost of a request to the quota of its account.
     *
     * @param account - the account
     * @param tokens - tokens of prompt and answer; undefined if the request does not state them
     * @returns the cost, to be released if the request does not run; or that the quota is exceeded and when to retry
     */
    acquire(account: ServedAccount, tokens: number | undefined): QuotaDecision {
        const { quota } = account;
        if (!quota) {
            return { kind: "granted", cost: 0 };
        }
        const cost = computeCost(quota, tokens);
        const share = cost / this.computeLimit(quota);
        const used = this.readUsedShare(account.name, quota);
        // Callers cannot split a request of many tokens, so it is granted while any part of the quota is left.
        const minRemainingShare = quota.unit === "requests" ? share : 0;
        if (1 - used <= 0 || 1 - used < minRemainingShare) {
            const waitMs = (used - 1 + share) * this.options.windowMs;
            const retryAfterMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs));
            return { kind: "exceeded", cost, retryAfterMs };
        }
        this.getSum(account.name).add(this.options.clock.readMonotonicMs(), share);
        return { kind: "granted", cost };
    }

    /** Releases the cost of a request that did not run. */
    release(accountName: string, cost: number): void {
        const quota = this.options.findQuota(accountName);
        if (quota) {
            const nowMs = this.options.clock.readMonotonicMs();
            this.getSum(accountName).add(nowMs, -cost / this.computeLimit(quota));
        }
    }

    /** Units that an account may still use now, over all nodes; undefined if it has no quota. */
    readRemaining({ name, quota }: ServedAccount): number | undefined {
        return quota ? (1 - this.readUsedShare(name, quota)) * this.computeLimit(quota) : undefined;
    }

    /** Computes the units that an account may use in one window: those of its rate plus its burst. */
    private computeLimit(quota: AccountQuota): number {
        return Math.max(1, this.computeRateUnits(quota) + quota.burst);
    }

    /** Computes the units that the rate allows in one window. */
    private computeRateUnits(quota: AccountQuota): number {
        return quota.ratePerS * this.options.windowMs / msPerSecond;
    }

    /** Share of its limit that an account used in the last window, over all nodes. */
    private readUsedShare(name: string, quota: AccountQuota): number {
        const nowMs = this.options.clock.readMonotonicMs();
        const sum = this.getSum(name);
        const assumed = this.computeAssumedShare(quota);
        const own = sum.read(nowMs) + assumed * this.computeWindowOverlap(nowMs - this.startedAtMs);
        const others = Math.max(0, this.options.countNodes() - 1);
        const latest = this.listLatestReports().slice(0, others);
        let used = own * (1 + others - latest.length);
        for (const { receivedMs } of latest) {
            used += sum.readSince(receivedMs);
        }
        for (const report of this.receivedReports.values()) {
            const sinceMs = nowMs - report.receivedMs;
            used += sinceMs < this.options.windowMs ? report.used[name] ?? 0 : 0;
            used += assumed * this.computeWindowOverlap(report.ageMs + sinceMs);
        }
        return used;
    }

    /** Lists the last report of each other node, the most recent first. */
    private listLatestReports(): ReceivedReport[] {
        const byNode = new Map([...this.receivedReports.values()].map(report => [report.nodeId, report]));
        return [...byNode.values()].sort((a, b) => b.receivedMs - a.receivedMs);
    }

    /** Computes the share of the limit that a process is assumed to have used in the window before its start. */
    private computeAssumedShare(quota: AccountQuota): number {
        const assumed = this.computeRateUnits(quota) + quota.burst * assumedBurstShare;
        return assumed / this.computeLimit(quota) / Math.max(1, this.options.countNodes());
    }

    /**
     * Computes the part of a past window's use that still lies in the current window, assuming even use.
     *
     * @param ageMs - time since the end of the past window, in milliseconds
     */
    private computeWindowOverlap(ageMs: number): number {
        return Math.max(0, 1 - ageMs / this.options.windowMs);
    }

    private getSum(name: string): SlidingWindowSum {
        let sum = this.sums.get(name);
        if (!sum) {
            sum = new SlidingWindowSum({ windowMs: this.options.windowMs });
            this.sums.set(name, sum);
        }
        return sum;
    }

    private createReport(): UseReport {
        const nowMs = this.options.clock.readMonotonicMs();
        const used: Record<string, number> = {};
        for (const [name, sum] of this.sums) {
            used[name] = sum.read(nowMs);
        }
        return { processId: this.options.processId, ageMs: nowMs - this.startedAtMs, used };
    }

    private mergeReport(nodeId: string, report: UseReport): void {
        const nowMs = this.options.clock.readMonotonicMs();
        // Moves the entry to the end; the last entry of a node counts as its current process.
        this.receivedReports.delete(report.processId);
        this.receivedReports.set(report.processId, { ...report, nodeId, receivedMs: nowMs });
        for (const [processId, { receivedMs }] of this.receivedReports) {
            if (nowMs - receivedMs >= this.options.windowMs) {
                this.receivedReports.delete(processId);
            }
        }
    }
}

const computeCost = (quota: AccountQuota, tokens: number | undefined): number =>
    quota.unit === "requests" ? 1 : tokens ?? quota.defaultCost;

/** Name of the quota limiter service. */
export const quotaLimiterName = createServiceName<QuotaLimiter>("quota-limiter");
