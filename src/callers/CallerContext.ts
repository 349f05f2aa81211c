import type { ReplicatedConfiguration } from "../configuration/ReplicatedConfiguration";
import type { PlainCalls } from "../idempotency/PlainCalls";
import type { Clock, RandomSource } from "../kernel/types";
import type { Membership } from "../membership/Membership";
import type { ChatRequests } from "../streams/ChatRequests";
import type { KeptRequests } from "../streams/KeptRequests";
import type { RequestLocator } from "../streams/RequestLocator";
import type { EventLog } from "../telemetry/EventLog";
import type { Metrics } from "../telemetry/Metrics";
import type { UpstreamRegistry } from "../upstreams/UpstreamRegistry";

/** What the callers' handlers work with. */
export interface CallerContext {
    readonly nodeId: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
    readonly metrics: Metrics;
    readonly configuration: ReplicatedConfiguration;
    readonly membership: Membership;
    readonly registry: UpstreamRegistry;
    readonly chatRequests: ChatRequests;
    readonly keptRequests: KeptRequests;
    readonly locator: RequestLocator;
    readonly plainCalls: PlainCalls;
    readonly maxBodyBytes: number;
    readonly entriesValidMs: number;
    readonly stallTimeoutMs: number;
    /** Aborts when this node must let go of its callers because its VM is taken. */
    readonly disconnectSignal: AbortSignal;
}
