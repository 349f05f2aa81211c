/** Shapes of a node's surroundings. */

import type { Logger } from "loglevel";
import type { Clock, RandomSource } from "../kernel/types";
import type { Cloud, ObjectStore, TableService, WeightStore } from "../platform/types";
import type { Settings } from "../settings/settingsSchema";
import type { UpstreamClientFactory } from "../upstreams/UpstreamRegistry";

/** Adapters to everything outside of the node. Replacing one is all that another protocol takes. */
export interface EntryPlatform {
    readonly tables: TableService;
    readonly objects: ObjectStore;
    readonly cloud: Cloud;
    /** Undefined when models need no transfers. */
    readonly weights?: WeightStore;
    readonly upstreams: UpstreamClientFactory;
    /** Closes the adapters' connections. */
    close(): Promise<void>;
}

/** Options of a node. */
export interface EntryNodeOptions {
    readonly settings: Settings;
    readonly platform: EntryPlatform;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger?: Logger;
    /** Called for each broken invariant. */
    readonly onBrokenInvariant?: (name: string, detail: string) => void;
}
