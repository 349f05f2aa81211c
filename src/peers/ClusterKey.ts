import { createServiceName } from "../kernel/createServiceName";
import type { Clock, RandomSource } from "../kernel/types";
import type { TableService } from "../platform/types";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";

/** Options of {@link ClusterKey}. */
export interface ClusterKeyOptions {
    readonly tables: TableService;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
}

const address = { table: "cluster", key: "key" } as const;
const keyBytes = 32;
const firstRetryMs = 50;
const maxRetryMs = 1_000;

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
        let retryMs = firstRetryMs;
        while (this.loaded === undefined) {
            try {
                this.loaded = await this.readOrCreate();
            }
            catch (error) {
                const fields = { call: "load cluster key", error: String(error) };
                this.options.events.emit(eventKinds.storeFailed, fields);
            }
            if (this.loaded === undefined) {
                await this.options.clock.sleep(retryMs);
                retryMs = Math.min(maxRetryMs, retryMs * 2);
            }
        }
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
