import { createServiceName } from "../kernel/createServiceName";
import { retryStoreCall } from "../feeds/retryStoreCall";
import type { Clock, RandomSource } from "../kernel/types";
import type { TableService } from "../platform/types";
import type { EventLog } from "../telemetry/EventLog";

/** Options of {@link ClusterKey}. */
export interface ClusterKeyOptions {
    readonly tables: TableService;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
}

const address = { table: "cluster", key: "key" } as const;
const keyBytes = 32;

/** The secret that the nodes share, kept in the store. The first node of all writes it. */
export class ClusterKey {
    private loaded: string | undefined;

    constructor(private readonly options: ClusterKeyOptions) {}

    /** The secret; known after {@link start}. */
    get value(): string {
        return this.loaded!;
    }

    /** Loads the secret; tries again until the store answers. */
    async start(): Promise<void> {
        const { clock, events } = this.options;
        this.loaded = await retryStoreCall({
            name: "load cluster key",
            call: () => this.readOrCreate(),
            clock,
            events,
        });
    }

    private async readOrCreate(): Promise<string | undefined> {
        const { tables, random } = this.options;
        const [row] = await tables.read([address]);
        if (row) {
            return String(row.value);
        }
        const value = random.drawId(keyBytes);
        const outcome = await tables.transact([{ ...address, condition: { kind: "absent" }, value }]);
        return outcome.kind === "committed" ? value : undefined;
    }
}

/** Name of the cluster key service. */
export const clusterKeyName = createServiceName<ClusterKey>("cluster-key");
