import { z } from "zod";
import { createServiceName } from "../kernel/createServiceName";
import { retryStoreCall } from "../feeds/retryStoreCall";
import type { StoreEra } from "../feeds/StoreEra";
import type { Clock, RandomSource } from "../kernel/types";
import type { RowCondition, TableService } from "../platform/types";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";

/** Options of {@link ClusterKey}. */
export interface ClusterKeyOptions {
    readonly tables: TableService;
    /** Era of the store; when it rises, the secret is stored again if it was lost. */
    readonly storeEra: StoreEra;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
}

const address = { table: "cluster", key: "key" } as const;
const keyBytes = 32;
const keySchema = z.string().regex(new RegExp(`^[0-9a-f]{${keyBytes * 2}}$`));
const reloadMs = 2_000; // between two reads of the row because members have another secret

/**
 * The secret with which nodes authenticate each other. Kept in the store; the first node of a cluster creates it. A row of
 * another writer that holds no secret is replaced.
 */
export class ClusterKey {
    private key: string | undefined;
    /** Monotonic time of the last {@link reload} that read the row, in milliseconds. */
    private reloadedMs = -Infinity;
    private isReloadScheduled = false;

    constructor(private readonly options: ClusterKeyOptions) {}

    /** The secret; available after {@link start}. */
    get value(): string {
        return this.key!;
    }

    /** Loads the secret; retries until the store answers. */
    async start(): Promise<void> {
        await this.load();
        this.options.storeEra.current.onChange(() => void this.load());
    }

    /**
     * Reads the secret again, at most every 2 s: now, or when that time has passed. To be called when a member has another
     * one: the row was lost or replaced, and a process that started then has stored a new one.
     *
     * @returns resolves when the secret has been read, or when reading it is left for later
     */
    async reload(): Promise<void> {
        const waitMs = this.reloadedMs + reloadMs - this.options.clock.readMonotonicMs();
        if (waitMs <= 0) {
            await this.readAgain();
            return;
        }
        if (!this.isReloadScheduled) {
            this.isReloadScheduled = true;
            void this.reloadAfter(waitMs);
        }
    }

    private async reloadAfter(waitMs: number): Promise<void> {
        await this.options.clock.sleep(waitMs);
        this.isReloadScheduled = false;
        await this.readAgain();
    }

    private async readAgain(): Promise<void> {
        this.reloadedMs = this.options.clock.readMonotonicMs();
        try {
            this.key = await this.loadOrCreate() ?? this.key;
        }
        catch (error) {
            const fields = { call: "reload cluster key", error: String(error) };
            this.options.events.emit(eventKinds.storeFailed, fields);
        }
    }

    private async load(): Promise<void> {
        const { clock, events } = this.options;
        this.key = await retryStoreCall({
            name: "load cluster key",
            call: () => this.loadOrCreate(),
            clock,
            events,
        });
    }

    /** Returns undefined when another node has created the key at the same time; the next try reads it. */
    private async loadOrCreate(): Promise<string | undefined> {
        const { tables, random, events } = this.options;
        const [row] = await tables.read([address]);
        const stored = keySchema.safeParse(row?.value);
        if (stored.success) {
            return stored.data;
        }
        if (row) {
            events.emit(eventKinds.rowUnreadable, address);
        }
        const value = this.key ?? random.drawId(keyBytes);
        const condition: RowCondition = row
            ? { kind: "revision", revision: row.revision }
            : { kind: "absent" };
        const outcome = await tables.transact([{ ...address, condition, value }]);
        return outcome.kind === "committed" ? value : undefined;
    }
}

/** Name of the cluster key service. */
export const clusterKeyName = createServiceName<ClusterKey>("cluster-key");
