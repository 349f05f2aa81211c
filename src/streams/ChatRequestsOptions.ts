import type { ReplicatedConfiguration } from "../configuration/ReplicatedConfiguration";
import type { Clock, RandomSource } from "../kernel/types";
import type { EntryMetrics } from "../telemetry/EntryMetrics";
import type { EventLog } from "../telemetry/EventLog";
import type { Invariants } from "../telemetry/Invariants";
import type { UpstreamRegistry } from "../upstreams/UpstreamRegistry";
import type { KeptRequests } from "./KeptRequests";
import type { RecoveryPolicy } from "./RecoveryPolicy";
import type { ServiceDispatchers } from "./ServiceDispatchers";
import type { StreamMemory } from "./StreamMemory";

/** Options of the model requests of a node, from their acceptance to their end. */
export interface ChatRequestsOptions {
    readonly nodeId: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
    readonly invariants: Invariants;
    readonly metrics: EntryMetrics;
    readonly memory: StreamMemory;
    readonly configuration: Pick<ReplicatedConfiguration, "current">;
    readonly registry: UpstreamRegistry;
    readonly dispatchers: ServiceDispatchers;
    readonly keptRequests: Pick<KeptRequests, "store" | "finish">;
    /** Decides from which point another runner continues an answer; default {@link ResumeRecovery}. */
    readonly recoveryPolicy?: RecoveryPolicy;
    /** An attempt whose runner sends nothing for this long is stopped, in milliseconds. */
    readonly streamSilenceMs: number;
    /** How long a request is held after its end for callers that resume, in milliseconds. */
    readonly resumeWindowMs: number;
}
