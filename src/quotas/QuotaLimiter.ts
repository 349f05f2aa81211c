import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";
import type { AccountQuota, ServedAccount } from "../routes/types";
import type { ClusterSums } from "../sums/ClusterSums";
import { computeMeanAgeMs, countCoveredNodes } from "../sums/coveredNodes";
import type { CoveredNodes } from "../sums/types";
import { SlidingWindowSum } from "./SlidingWindowSum";

/** Options of {@link QuotaLimiter}. */
export interface QuotaLimiterOptions {
    readonly clock: Clock;
    readonly sums: Pick<ClusterSums, "registerContributor" | "readOthers" | "listCovered" | "intervalMs">;
    /** Number of nodes that serve requests, including this one. */
    readonly countNodes: () => number;
    /** Length of the sliding window over which use is counted, in milliseconds. */
    readonly windowMs: number;
}

/** Whether a request is within the quota of its account. */
export type QuotaDecision =
    /** `release` takes the charge back, to be called if the request does not run; a second call has no effect. */
    | { readonly kind: "granted"; readonly cost: number; readonly release: () => void; }
    | { readonly kind: "exceeded"; readonly cost: number; readonly retryAfterMs: number; };

/** Group of counters with the share of its limit that each account used in the last window. */
export const usedGroup = "quota-used";
/** Group of counters with the share of its limit that each account used in the last second. */
const recentGroup = "quota-recent";
/** Group with one counter: the part of the last window before the start of each process, summed. */
const youngGroup = "quota-young";
const allAccounts = "all";
const recentMs = 1_000;
const maxSampledNodes = 16; // with more nodes, one node's own use tells too little about the others'
const overdueIntervals = 4; // sums of all nodes arrive over up to three exchanges
const growthFactor = 1.5; // of the use since the last sum; demand may be growing
const assumedBurstShare = 0.5; // of the burst; assumed use by a previous process right before it ended
const msPerSecond = 1_000;
const minRetryAfterMs = 100;
const maxRetryAfterMs = 2_000;

/**
 * Enforces the quota of each client account over all nodes. The limit for any window is the number of units that the
 * rate allows in it plus the burst.
 *
 * - Use is counted as a share of the limit, so it stays comparable when the limit changes.
 * - Each node contributes its use of the last window to the sums over all nodes, and adds the others' to its own. The
 *   last contribution of an ended process counts for one more window.
 * - For the time since the last sum, the others are assumed to have used as much each as this node, or, if there are
 *   many, what they used recently; at least the former where the sum is overdue, as after a suspension of this node.
 *   Partitioned nodes therefore stay within the quota together.
 * - Use is not persisted. A new process is therefore assumed to have used its part of the limit before its start.
 */
export class QuotaLimiter {
    private readonly sums = new Map<string, SlidingWindowSum>();
    private readonly startedAtMs: number;

    constructor(private readonly options: QuotaLimiterOptions) {
        this.startedAtMs = options.clock.readMonotonicMs();
    }

    async start(): Promise<void> {
        const { sums, clock } = this.options;
        sums.registerContributor(usedGroup, () => this.listOwnUse(sum => sum.read(clock.readMonotonicMs())));
        sums.registerContributor(
            recentGroup,
            () => this.listOwnUse(sum => Math.max(0, sum.readSince(clock.readMonotonicMs() - recentMs))),
        );
        sums.registerContributor(
            youngGroup,
            () => new Map([[allAccounts, this.computeWindowOverlap(this.readAgeMs())]]),
        );
    }

    /**
     * Charges the cost of a request to the quota of its account.
     *
     * @param account - the account
     * @param tokens - tokens of prompt and answer; undefined if the request does not state them
     * @returns the cost and its release; or that the quota is exceeded and when to retry
     */
    acquire(account: ServedAccount, tokens: number | undefined): QuotaDecision {
        const { quota } = account;
        if (!quota) {
            return { kind: "granted", cost: 0, release: () => {} };
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
        return { kind: "granted", cost, release: this.addCharge(account.name, share) };
    }

    /** Charges a share of an account's limit, and returns a function that takes it back once. */
    private addCharge(name: string, share: number): () => void {
        const chargedMs = this.options.clock.readMonotonicMs();
        const sum = this.getSum(name);
        sum.add(chargedMs, share);
        let isCharged = true;
        return () => {
            if (isCharged) {
                isCharged = false;
                sum.remove(chargedMs, share);
            }
        };
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
        const own = sum.read(nowMs) + assumed * this.computeWindowOverlap(this.readAgeMs());
        const others = Math.max(0, this.options.countNodes() - 1);
        const covered = takeLatest(this.options.sums.listCovered(), others);
        const uncovered = others - countCoveredNodes(covered);
        const { sums } = this.options;
        return own * (1 + uncovered)
            + (sums.readOthers(usedGroup).get(name) ?? 0)
            + assumed * (sums.readOthers(youngGroup).get(allAccounts) ?? 0)
            + this.estimateUseSince(name, covered, nowMs);
    }

    /** Estimates the share that the other nodes have used since the sums were made. */
    private estimateUseSince(name: string, covered: readonly CoveredNodes[], nowMs: number): number {
        if (countCoveredNodes(covered) <= maxSampledNodes) {
            return this.sampleUseSince(name, covered);
        }
        const { sums } = this.options;
        const meanAgeMs = computeMeanAgeMs(covered, nowMs);
        const recent = sums.readOthers(recentGroup).get(name) ?? 0;
        const extrapolated = recent * meanAgeMs / recentMs * growthFactor;
        const isOverdue = meanAgeMs > sums.intervalMs * overdueIntervals;
        return isOverdue ? Math.max(extrapolated, this.sampleUseSince(name, covered)) : extrapolated;
    }

    /** Computes the share that the other nodes have used since the sums were made if each used as much as this one. */
    private sampleUseSince(name: string, covered: readonly CoveredNodes[]): number {
        const sum = this.getSum(name);
        return covered.reduce((total, part) => total + part.nodes * sum.readSince(part.atMs), 0);
    }

    private readAgeMs(): number {
        return this.options.clock.readMonotonicMs() - this.startedAtMs;
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

    private listOwnUse(read: (sum: SlidingWindowSum) => number): ReadonlyMap<string, number> {
        return new Map([...this.sums].map(([name, sum]) => [name, read(sum)]));
    }
}

/** Takes the parts with the latest sums, up to a number of nodes. */
const takeLatest = (covered: readonly CoveredNodes[], maxNodes: number): CoveredNodes[] => {
    const taken: CoveredNodes[] = [];
    let left = maxNodes;
    for (const part of [...covered].sort((a, b) => b.atMs - a.atMs)) {
        if (left > 0) {
            taken.push({ ...part, nodes: Math.min(left, part.nodes) });
            left -= part.nodes;
        }
    }
    return taken;
};

const computeCost = (quota: AccountQuota, tokens: number | undefined): number =>
    quota.unit === "requests" ? 1 : tokens ?? quota.defaultCost;

/** Name of the quota limiter service. */
export const quotaLimiterName = createServiceName<QuotaLimiter>("quota-limiter");
