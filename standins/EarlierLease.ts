import type { StoreEra } from "../src/feeds/StoreEra";
import type { Clock, RandomSource } from "../src/kernel/types";
import type { LeaseRow } from "../src/leases/types";
import type { Row, RowCondition, TableService } from "../src/platform/types";

/** Options of {@link EarlierLease}. */
export interface EarlierLeaseOptions {
    readonly duty: string;
    readonly nodeId: string;
    readonly tables: TableService;
    readonly storeEra: StoreEra;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly durationMs: number;
    readonly takeoverDelayMs: number;
}

interface EarlierHolding {
    readonly holdingId: string;
    readonly fencing: number;
    readonly revision: number;
    readonly era: number;
    readonly renewals: number;
    readonly renewedAtMs: number;
    readonly activeFromMs: number;
}

const table = "leases";
const renewalsPerDuration = 3;
const heldShare = 0.8; // of the duration
const fencingNumbersPerEra = 1_000_000;

/**
 * Lease as nodes of an earlier build (2940ece) hold it, for tests of a release: rows without an id of the write and without any
 * field that came later, no confirmation of calls, a wait that counts from the read before the takeover, and numbers that
 * add one to the row's. Its wall clock is its monotonic clock.
 */
export class EarlierLease {
    private holding: EarlierHolding | undefined;
    private observation:
        | { readonly revision: number; readonly era: number; readonly sinceMs: number; }
        | undefined;
    private isStopped = false;

    constructor(private readonly options: EarlierLeaseOptions) {}

    async start(): Promise<void> {
        void this.run();
    }

    async stop(): Promise<void> {
        this.isStopped = true;
        this.holding = undefined;
    }

    /** Returns the fencing number if the lease is held and lasts for a call. */
    readHeldFor(callMs: number): number | undefined {
        const { holding } = this;
        const nowMs = this.options.clock.readMonotonicMs();
        if (!holding) {
            return undefined;
        }
        const remainingMs = this.options.durationMs * heldShare - (nowMs - holding.renewedAtMs);
        if (remainingMs <= 0) {
            this.dropHolding();
        }
        return remainingMs > callMs && nowMs >= holding.activeFromMs ? holding.fencing : undefined;
    }

    private async run(): Promise<void> {
        while (!this.isStopped) {
            try {
                this.readHeldFor(0);
                await (this.holding ? this.renew(this.holding) : this.tryAcquire());
            }
            catch {
                // The store is not available; a held lease expires on its own.
            }
            await this.options.clock.sleep(this.options.durationMs / renewalsPerDuration);
        }
    }

    private readEra(): number {
        return this.options.storeEra.current.value ?? 0;
    }

    private dropHolding(): void {
        this.holding = undefined;
        this.observation = undefined;
    }

    private async renew(previous: EarlierHolding): Promise<void> {
        const holding = previous.era === this.readEra() ? previous : await this.recoverHolding(previous);
        if (this.holding !== previous) {
            return;
        }
        if (!holding) {
            this.dropHolding();
            return;
        }
        this.holding = holding;
        const renewedAtMs = this.options.clock.readMonotonicMs();
        const next = { ...holding, renewals: holding.renewals + 1, renewedAtMs };
        const revision = await this.write(next, { kind: "revision", revision: holding.revision });
        if (this.holding !== holding || this.readEra() !== holding.era) {
            return;
        }
        this.holding = revision === undefined ? undefined : { ...next, revision };
    }

    private async recoverHolding(holding: EarlierHolding): Promise<EarlierHolding | undefined> {
        const row = await this.readRow();
        const era = this.readEra();
        return row && (row.value as LeaseRow | undefined)?.holdingId === holding.holdingId
            ? { ...holding, revision: row.revision, era }
            : undefined;
    }

    private async tryAcquire(): Promise<void> {
        const row = await this.readRow();
        const nowMs = this.options.clock.readMonotonicMs();
        const era = this.readEra();
        if (!this.hasBeenUnchanged(row?.revision ?? 0, era, nowMs)) {
            return;
        }
        const previous = row?.value as LeaseRow | undefined;
        const next: EarlierHolding = {
            holdingId: `${this.options.nodeId}:${this.options.random.drawId(8)}`,
            fencing: Math.max((previous?.fencing ?? 0) + 1, era * fencingNumbersPerEra),
            revision: 0,
            era,
            renewals: 0,
            renewedAtMs: nowMs,
            activeFromMs: nowMs + this.options.takeoverDelayMs,
        };
        const condition: RowCondition = row
            ? { kind: "revision", revision: row.revision }
            : { kind: "absent" };
        const revision = await this.write(next, condition);
        if (revision !== undefined && this.readEra() === era) {
            this.holding = { ...next, revision };
        }
    }

    private hasBeenUnchanged(revision: number, era: number, nowMs: number): boolean {
        if (this.observation?.revision !== revision || this.observation.era !== era) {
            this.observation = { revision, era, sinceMs: nowMs };
            return false;
        }
        return nowMs - this.observation.sinceMs >= this.options.durationMs;
    }

    private async write(next: EarlierHolding, condition: RowCondition): Promise<number | undefined> {
        const { tables, duty, nodeId, durationMs } = this.options;
        const { holdingId, fencing, renewals } = next;
        const value: LeaseRow = { holder: nodeId, holdingId, fencing, durationMs, renewals };
        try {
            const outcome = await tables.transact([{ table, key: duty, condition, value }]);
            if (outcome.kind === "committed") {
                return outcome.revisions[0];
            }
        }
        catch {
            // The write may have taken effect.
        }
        const row = await this.readRow();
        const found = row?.value as LeaseRow | undefined;
        return found?.holdingId === holdingId && found.renewals === renewals ? row!.revision : undefined;
    }

    private async readRow(): Promise<Row | undefined> {
        const [row] = await this.options.tables.read([{ table, key: this.options.duty }]);
        return row;
    }
}
