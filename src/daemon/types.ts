/** Types of an entry node's options and adapters. */

import type { Logger } from "loglevel";
import type { Clock, RandomSource } from "../kernel/types";
import type { Cloud, ObjectStore, TableService, WeightStore } from "../platform/types";
import type { Settings } from "../settings/settingsSchema";
import type { UpstreamClientFactory } from "../upstreams/UpstreamRegistry";

/** Adapters to everything outside the process. Supporting another protocol takes only another adapter. */
export interface EntryPlatform {
    readonly tables: TableService;
    readonly objects: ObjectStore;
    readonly cloud: Cloud;
    /** Undefined where models are not transferred from a weight store. */
    readonly weights?: WeightStore;
    readonly upstreams: UpstreamClientFactory;
    /** Closes the adapters' connections. */
    close(): Promise<void>;
}

/** Options of an entry node. */
export interface EntryNodeOptions {
    readonly settings: Settings;
    readonly platform: EntryPlatform;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger?: Logger;
    /** Called for each violated invariant. */
    readonly onBrokenInvariant?: (name: string, detail: string) => void;
}
