import { z } from "zod";
import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";
import type { PeerReports, ReportTopic } from "../peers/PeerReports";
import type { AccountQuota, ServedAccount } from "../routes/types";

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
    /** Tokens by which the limit may be passed over all nodes in a short time; default 0. */
    readonly readSlackTokens?: () => number;
}

/** Outcome of a request for a part of an account's quota. */
export type QuotaGrant =
    | { readonly kind: "granted"; readonly cost: number; }
    | { readonly kind: "exceeded"; readonly retryAfterMs: number; };

interface Bucket {
    /** Units that all nodes may use now; below 0 after they used more at the same time. */
    level: number;
    filledAtMs: number;
    /** Units that this process has used since its start. */
    used: number;
}

interface UseReport {
    readonly processId: string;
    /** Units used since the process's start, by account. */
    readonly used: Readonly<Record<string, number>>;
}

const useTopic: ReportTopic<UseReport> = {
    name: "quota-use",
    schema: z.object({ processId: z.string(), used: z.record(z.number()) }),
};
const slackShare = 0.25; // the rest is for what nodes grant before they hear of each other
const msPerSecond = 1_000;
const leastRetryAfterMs = 100;
const longestRetryAfterMs = 2_000;

/**
 * Keeps each client account within its quota over all nodes. Every node has a copy of one token bucket for the account:
 * it takes out its own grants at once, and those of the others when it hears of them. What nodes grant at the same time
 * is a debt that later grants wait for. A live member that was not heard lately is taken to use as much as this node.
 */
export class QuotaLimiter {
    private readonly buckets = new Map<string, Bucket>();
    /** Use that each process last told, by account. */
    private readonly heard = new Map<string, Readonly<Record<string, number>>>();

    constructor(private readonly options: QuotaLimiterOptions) {}

    async start(): Promise<void> {
        this.options.reports.exchange(
            useTopic,
            () => this.readUse(),
            (_nodeId, report) => this.merge(report),
        );
    }

    /**
     * Takes a request's cost out of an account's quota.
     *
     * @param account - the account
     * @param tokens - tokens of prompt and answer, where the request names them
     * @returns the cost to give back when the request does not run, or when to come back
     */
    take(account: ServedAccount, tokens: number | undefined): QuotaGrant {
        const { quota } = account;
        if (!quota) {
            return { kind: "granted", cost: 0 };
        }
        const cost = computeCost(quota, tokens);
        const bucket = this.openBucket(account.name, quota);
        this.fill(bucket, quota);
        const least = this.computeLeastLevel(quota);
        if (bucket.level < least) {
            const waitMs = (least - bucket.level + cost) / quota.ratePerS * msPerSecond;
            const retryAfterMs = Math.min(longestRetryAfterMs, Math.max(leastRetryAfterMs, waitMs));
            return { kind: "exceeded", retryAfterMs };
        }
        bucket.level -= cost * (1 + this.countUnheard());
        bucket.used += cost;
        return { kind: "granted", cost };
    }

    /** Gives back the cost of a request that did not run. */
    giveBack(accountName: string, cost: number): void {
        const bucket = this.buckets.get(accountName);
        if (bucket) {
            bucket.level += cost;
            bucket.used -= cost;
        }
    }

    /** Units that an account may use now over all nodes; undefined before it was used. */
    readLevel(accountName: string): number | undefined {
        return this.buckets.get(accountName)?.level;
    }

    /**
     * Level below which nothing is granted. Requests of many tokens may take the bucket into debt, as a caller cannot
     * split them.
     */
    private computeLeastLevel(quota: AccountQuota): number {
        return quota.unit === "requests" ? 1 : 1 - (this.options.readSlackTokens?.() ?? 0) * slackShare;
    }

    private openBucket(name: string, quota: AccountQuota): Bucket {
        let bucket = this.buckets.get(name);
        if (!bucket) {
            bucket = { level: quota.burst, filledAtMs: this.options.clock.readMonotonicMs(), used: 0 };
            this.buckets.set(name, bucket);
        }
        return bucket;
    }

    private fill(bucket: Bucket, quota: AccountQuota): void {
        const nowMs = this.options.clock.readMonotonicMs();
        const earned = quota.ratePerS * (nowMs - bucket.filledAtMs) / msPerSecond;
        bucket.level = Math.min(quota.burst, bucket.level + earned);
        bucket.filledAtMs = nowMs;
    }

    private countUnheard(): number {
        const heard = this.options.reports.listFresh(useTopic).length;
        return Math.max(0, this.options.countNodes() - 1 - heard);
    }

    private readUse(): UseReport {
        const used: Record<string, number> = {};
        for (const [name, bucket] of this.buckets) {
            used[name] = bucket.used;
        }
        return { processId: this.options.processId, used };
    }

    /** Takes out what a process has used since its last report; its first one is where counting begins. */
    private merge(report: UseReport): void {
        const before = this.heard.get(report.processId);
        this.heard.set(report.processId, report.used);
        for (const [name, used] of Object.entries(report.used)) {
            const quota = this.options.findQuota(name);
            if (quota && before) {
                const bucket = this.openBucket(name, quota);
                this.fill(bucket, quota);
                bucket.level -= used - (before[name] ?? 0);
            }
        }
    }
}

const computeCost = (quota: AccountQuota, tokens: number | undefined): number =>
    quota.unit === "requests" ? 1 : tokens ?? quota.plainCost;

/** Name of the quota limiter service. */
export const quotaLimiterName = createServiceName<QuotaLimiter>("quota-limiter");
