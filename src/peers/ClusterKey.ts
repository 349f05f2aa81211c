import { createServiceName } from "../kernel/createServiceName";
import { retryStoreCall } from "../feeds/retryStoreCall";
import type { StoreEra } from "../feeds/StoreEra";
import type { Clock, RandomSource } from "../kernel/types";
import type { TableService } from "../platform/types";
import type { EventLog } from "../telemetry/EventLog";

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

/** The secret with which nodes authenticate each other. Kept in the store; the first node of a cluster creates it. */
export class ClusterKey {
    private key: string | undefined;

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
        const { tables, random } = this.options;
        const [row] = await tables.read([address]);
        if (row) {
            return String(row.value);
        }
        const value = this.key ?? random.drawId(keyBytes);
        const outcome = await tables.transact([{ ...address, condition: { kind: "absent" }, value }]);
        return outcome.kind === "committed" ? value : undefined;
    }
}

/** Name of the cluster key service. */
export const clusterKeyName = createServiceName<ClusterKey>("cluster-key");
