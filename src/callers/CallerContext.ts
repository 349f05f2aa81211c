import type { ReplicatedConfiguration } from "../configuration/ReplicatedConfiguration";
import type { HeldBytes } from "../http/HeldBytes";
import type { PlainCalls } from "../idempotency/PlainCalls";
import type { Clock, RandomSource } from "../kernel/types";
import type { Membership } from "../membership/Membership";
import type { ChatRequests } from "../streams/ChatRequests";
import type { KeptRequests } from "../streams/KeptRequests";
import type { RequestLocator } from "../streams/RequestLocator";
import type { EventLog } from "../telemetry/EventLog";
import type { EntryMetrics } from "../telemetry/EntryMetrics";
import type { UpstreamRegistry } from "../upstreams/UpstreamRegistry";

/** Services and settings that the HTTP handlers for callers use. */
export interface CallerContext {
    readonly nodeId: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
    readonly metrics: EntryMetrics;
    readonly configuration: ReplicatedConfiguration;
    readonly membership: Membership;
    readonly registry: UpstreamRegistry;
    readonly chatRequests: ChatRequests;
    readonly keptRequests: KeptRequests;
    readonly locator: RequestLocator;
    readonly plainCalls: PlainCalls;
    readonly maxBodyBytes: number;
    /** What callers make the process hold. */
    readonly heldBytes: HeldBytes;
    /** How long a caller may use a list of entries, in milliseconds. */
    readonly entriesValidMs: number;
    /** A caller that reads nothing for this long is disconnected, in milliseconds; at most 10 s take effect. */
    readonly stallTimeoutMs: number;
    /** Aborts when this node must disconnect its callers: its VM is being reclaimed, or the node stops. */
    readonly disconnectSignal: AbortSignal;
}
