/** Types of a forwarding node's options and adapters. */

import type { Logger } from "loglevel";
import type { buildConnector } from "undici";
import type { StoreEra } from "../feeds/StoreEra";
import type { RecordFeed } from "../feeds/types";
import type { ForwardProtocol } from "../forwarding/types";
import type { Clock, RandomSource } from "../kernel/types";
import type { UpstreamInstance } from "../placement/types";
import type { FencedCloud, RowOperation, TableService } from "../platform/types";
import type { RolloutRecord } from "../rollouts/types";
import type { OperatorRecord } from "../routes/types";
import type { ServingSettings } from "../settings/servingSettingsSchema";

/** Adapters to everything outside the process. */
export interface ServingPlatform {
    readonly tables: TableService;
    readonly storeEra: StoreEra;
    /** Opens the change feed of one of this system's own tables. */
    openFeed<T>(table: string, decode: (key: string, value: unknown) => T | undefined): RecordFeed<T>;
    /** What operators write: the configuration and orders. */
    readonly configurations: RecordFeed<OperatorRecord>;
    readonly instances: RecordFeed<UpstreamInstance>;
    /** Creates the write that tells operators the state of a roll-out. */
    readonly createRolloutStatusWrite: (record: RolloutRecord) => RowOperation;
    /** Undefined where the node takes on no duties. */
    readonly dutyCloud?: FencedCloud;
    readonly protocol: ForwardProtocol;
    /** Formats the value of the `Retry-After` header; whole seconds by default. */
    readonly formatRetryAfter?: (retryAfterMs: number) => string;
    /** Time limit of a call to the store, in milliseconds. */
    readonly storeTimeoutMs: number;
    /** Time limit of a call to the cloud, in milliseconds. */
    readonly dutyCallTimeoutMs: number;
    /** Closes the adapters' connections. */
    close(): Promise<void>;
}

/** Options of a forwarding node. */
export interface ServingNodeOptions {
    readonly settings: ServingSettings;
    readonly platform: ServingPlatform;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger?: Logger;
    /** Opens connections to upstreams; default: undici's connector. */
    readonly connectUpstream?: buildConnector.connector;
}
