import { ObservableValue } from "../_lib/ObservableValue";
import { createServiceName } from "../kernel/createServiceName";
import type { FeedFollower } from "../feeds/FeedFollower";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { RouteTable } from "./RouteTable";
import { isServingConfiguration } from "./isServingConfiguration";
import type { OperatorRecord, ServingConfiguration } from "./types";

/** Options of {@link ServingState}. */
export interface ServingStateOptions {
    readonly feed: FeedFollower<OperatorRecord>;
    readonly events: EventLog;
    /** Maximum age of the last confirmation at which keys may still be checked, in milliseconds. */
    readonly maxAgeMs: () => number;
    /** Time within which a configuration must be in force after its acknowledgement, in milliseconds. */
    readonly changeMs: number;
}

/** The active configuration of this node. Configurations with a lower version are ignored. */
export class ServingState {
    /** Table of the active configuration; undefined until the first one is read. */
    readonly table = new ObservableValue<RouteTable | undefined>(undefined);

    constructor(private readonly options: ServingStateOptions) {}

    async start(): Promise<void> {
        this.options.feed.records.onChange(records => this.adoptAll(records));
        this.adoptAll(this.options.feed.records.value);
    }

    /** Time since the store last confirmed the configuration as the newest, in milliseconds. */
    readAgeMs(): number {
        return this.options.feed.readAgeMs();
    }

    /** Whether the configuration is recent enough to check keys: a revocation would have been read in time. */
    isFresh(): boolean {
        return this.readAgeMs() <= this.options.maxAgeMs();
    }

    /**
     * Whether requests may be decided by the configuration: a change that should be in force would have been read. While
     * the store is away, the last configuration stays in use.
     */
    isCurrent(): boolean {
        return this.readAgeMs() <= this.options.changeMs || this.options.feed.isStoreAway;
    }

    /** Reads the configuration again, until it is current or the reading takes too long. */
    refresh(): Promise<void> {
        return this.options.feed.refresh(this.options.changeMs);
    }

    /** Puts a configuration in force if its version is higher than the present one's. */
    adopt(configuration: ServingConfiguration): void {
        const before = this.table.value?.configuration.version ?? -Infinity;
        if (configuration.version <= before || !Number.isSafeInteger(configuration.version)) {
            return; // no later version would be higher than one that is no safe integer
        }
        this.table.set(new RouteTable(configuration));
        this.options.events.emit(eventKinds.configurationAdopted, {
            revision: configuration.version,
            before: Number.isFinite(before) ? before : undefined,
            routes: configuration.routes.length,
            accounts: configuration.accounts.length,
            source: this.options.feed.source,
            ageMs: roundAge(this.options.feed.readAgeMs()),
        });
    }

    private adoptAll(records: ReadonlyMap<string, OperatorRecord> | undefined): void {
        [...records?.values() ?? []].filter(isServingConfiguration).forEach(configuration =>
            this.adopt(configuration)
        );
    }
}

const roundAge = (ageMs: number): number | undefined =>
    Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;

/** Name of the serving state service. */
export const servingStateName = createServiceName<ServingState>("serving-state");
