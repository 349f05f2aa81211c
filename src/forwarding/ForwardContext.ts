import type { Clock, RandomSource } from "../kernel/types";
import type { SoleVersions } from "../origins/SoleVersions";
import type { StreamOrigins } from "../origins/StreamOrigins";
import type { InstanceRegistry } from "../placement/InstanceRegistry";
import type { PlacementPolicy } from "../placement/types";
import type { QuotaLimiter } from "../quotas/QuotaLimiter";
import type { PlannedStop } from "../stopping/PlannedStop";
import type { RetryBudgets } from "../retries/RetryBudgets";
import type { RolloutTracker } from "../rollouts/RolloutTracker";
import type { WorkBalance } from "../scheduling/WorkBalance";
import type { ServingState } from "../routes/ServingState";
import type { EventLog } from "../telemetry/EventLog";
import type { ForwardMetrics } from "../telemetry/ForwardMetrics";
import type { AnswerMemory } from "../upstreams/AnswerMemory";
import type { UsageLedger } from "../usage/UsageLedger";
import type { CrashWatchOptions } from "./CrashWatch";
import type { ForwardProtocol } from "./types";

/** Services of the node that forwarding a request depends on. */
export interface ForwardContext {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
    readonly metrics: ForwardMetrics;
    readonly protocol: ForwardProtocol;
    readonly servingState: ServingState;
    readonly instances: InstanceRegistry;
    readonly placement: PlacementPolicy;
    readonly quotas: QuotaLimiter;
    readonly quarantine: CrashWatchOptions["quarantine"];
    readonly origins: Pick<StreamOrigins, "find" | "record">;
    readonly soleVersions: Pick<SoleVersions, "find">;
    readonly rollouts: Pick<RolloutTracker, "chooseVersions" | "beginAttempt">;
    /** Undefined where placement does not look at what requests cost. */
    readonly work: Pick<WorkBalance, "begin"> | undefined;
    readonly retryBudgets: RetryBudgets;
    readonly plannedStop: PlannedStop;
    readonly usage: UsageLedger;
    /** Memory for answers that are collected before they are sent. */
    readonly answerMemory: AnswerMemory;
}
