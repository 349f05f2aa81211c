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
    /** Tells two processes of one node apart. */
    readonly processId: string;
    /** Number of members that take requests, this node included. */
    readonly countNodes: () => number;
    /** Finds an account's quota in the configuration in force. */
    readonly findQuota: (accountName: string) => AccountQuota | undefined;
    /** Window over which the rate and the burst are counted, in milliseconds. */
    readonly windowMs: number;
}

/** Outcome of a request for a part of an account's quota. */
export type QuotaDecision =
    | { readonly kind: "granted"; readonly cost: number; }
    | { readonly kind: "exceeded"; readonly cost: number; readonly retryAfterMs: number; };

interface UseReport {
    readonly processId: string;
    /** Time since the process's start, in milliseconds. */
    readonly ageMs: number;
    /** Share of the limit that the process has used in the last window, by account. */
    readonly used: Readonly<Record<string, number>>;
}

interface HeardUse extends UseReport {
    readonly nodeId: string;
    /** Monotonic time of the report's arrival, in milliseconds. */
    readonly atMs: number;
}

const useTopic: ReportTopic<UseReport> = {
    name: "quota-use",
    schema: z.object({ processId: z.string(), ageMs: z.number(), used: z.record(z.number()) }),
};
const assumedBurstShare = 0.5; // of the burst, that an earlier process may have used right before its end
const msPerSecond = 1_000;
const leastRetryAfterMs = 100;
const longestRetryAfterMs = 2_000;

/**
 * Keeps each client account within its quota over all nodes: in any window, no more than its rate allows plus its burst.
 * Use is counted in shares of that limit, so that it stays comparable when the limit changes. Every node tells its own
 * use of the last window and adds what it last heard of the others, of processes that have ended too, for one window.
 * Since its last report a member is taken to have used as much as this node, so that nodes that are cut off from each
 * other stay within the quota together. A process that has just started is taken to have used its part before, as
 * nothing is kept.
 */
export class QuotaLimiter {
    private readonly sums = new Map<string, SlidingWindowSum>();
    private readonly heard = new Map<string, HeardUse>();
    private readonly startedAtMs: number;

    constructor(private readonly options: QuotaLimiterOptions) {
        this.startedAtMs = options.clock.readMonotonicMs();
    }

    async start(): Promise<void> {
        this.options.reports.exchange(
            useTopic,
            () => this.readUse(),
            (nodeId, report) => this.merge(nodeId, report),
        );
    }

    /**
     * Takes a request's cost out of an account's quota.
     *
     * @param account - the account
     * @param tokens - tokens of prompt and answer, where the request names them
     * @returns the cost to give back when the request does not run, or when to come back
     */
    acquire(account: ServedAccount, tokens: number | undefined): QuotaDecision {
        const { quota } = account;
        if (!quota) {
            return { kind: "granted", cost: 0 };
        }
        const cost = computeCost(quota, tokens);
        const share = cost / this.computeLimit(quota);
        const used = this.readUsedShare(account.name, quota);
        const leastLeft = quota.unit === "requests" ? share : 0; // callers cannot split a request of many tokens
        if (1 - used <= 0 || 1 - used < leastLeft) {
            const waitMs = (used - 1 + share) * this.options.windowMs;
            const retryAfterMs = Math.min(longestRetryAfterMs, Math.max(leastRetryAfterMs, waitMs));
            return { kind: "exceeded", cost, retryAfterMs };
        }
        this.openSum(account.name).add(this.options.clock.readMonotonicMs(), share);
        return { kind: "granted", cost };
    }

    /** Gives back the cost of a request that did not run. */
    release(accountName: string, cost: number): void {
        const quota = this.options.findQuota(accountName);
        if (quota) {
            const nowMs = this.options.clock.readMonotonicMs();
            this.openSum(accountName).add(nowMs, -cost / this.computeLimit(quota));
        }
    }

    /** Units that an account may use now over all nodes; undefined where it has no quota. */
    readRemaining({ name, quota }: ServedAccount): number | undefined {
        return quota ? (1 - this.readUsedShare(name, quota)) * this.computeLimit(quota) : undefined;
    }

    /** Units that an account may use in one window. */
    private computeLimit(quota: AccountQuota): number {
        return Math.max(1, this.computeEarned(quota) + quota.burst);
    }

    /** Units that the rate allows in one window. */
    private computeEarned(quota: AccountQuota): number {
        return quota.ratePerS * this.options.windowMs / msPerSecond;
    }

    /** Share of its limit that an account has used over all nodes in the last window. */
    private readUsedShare(name: string, quota: AccountQuota): number {
        const nowMs = this.options.clock.readMonotonicMs();
        const sum = this.openSum(name);
        const assumed = this.computeAssumedShare(quota);
        const own = sum.read(nowMs) + assumed * this.computeWeight(nowMs - this.startedAtMs);
        const others = Math.max(0, this.options.countNodes() - 1);
        const latest = this.listLatest().slice(0, others);
        let used = own * (1 + others - latest.length);
        for (const { atMs } of latest) {
            used += sum.readSince(atMs);
        }
        for (const report of this.heard.values()) {
            const sinceMs = nowMs - report.atMs;
            used += sinceMs < this.options.windowMs ? report.used[name] ?? 0 : 0;
            used += assumed * this.computeWeight(report.ageMs + sinceMs);
        }
        return used;
    }

    /** Last report of each other node, the latest first. */
    private listLatest(): HeardUse[] {
        const byNode = new Map([...this.heard.values()].map(report => [report.nodeId, report]));
        return [...byNode.values()].sort((a, b) => b.atMs - a.atMs);
    }

    /** Share of the limit that a process is taken to have used in the window before its start. */
    private computeAssumedShare(quota: AccountQuota): number {
        const assumed = this.computeEarned(quota) + quota.burst * assumedBurstShare;
        return assumed / this.computeLimit(quota) / Math.max(1, this.options.countNodes());
    }

    /** Part of a past window's use that still lies in the present window, taken as spread evenly. */
    private computeWeight(ageMs: number): number {
        return Math.max(0, 1 - ageMs / this.options.windowMs);
    }

    private openSum(name: string): SlidingWindowSum {
        let sum = this.sums.get(name);
        if (!sum) {
            sum = new SlidingWindowSum({ windowMs: this.options.windowMs });
            this.sums.set(name, sum);
        }
        return sum;
    }

    private readUse(): UseReport {
        const nowMs = this.options.clock.readMonotonicMs();
        const used: Record<string, number> = {};
        for (const [name, sum] of this.sums) {
            used[name] = sum.read(nowMs);
        }
        return { processId: this.options.processId, ageMs: nowMs - this.startedAtMs, used };
    }

    private merge(nodeId: string, report: UseReport): void {
        const nowMs = this.options.clock.readMonotonicMs();
        this.heard.delete(report.processId); // the latest of a node's processes comes last
        this.heard.set(report.processId, { ...report, nodeId, atMs: nowMs });
        for (const [processId, { atMs }] of this.heard) {
            if (nowMs - atMs >= this.options.windowMs) {
                this.heard.delete(processId);
            }
        }
    }
}

const computeCost = (quota: AccountQuota, tokens: number | undefined): number =>
    quota.unit === "requests" ? 1 : tokens ?? quota.defaultCost;

/** Name of the quota limiter service. */
export const quotaLimiterName = createServiceName<QuotaLimiter>("quota-limiter");
