import type { ForwardContext } from "../forwarding/ForwardContext";
import type { FindService } from "../kernel/types";
import { soleVersionsName } from "../origins/SoleVersions";
import { streamOriginsName } from "../origins/StreamOrigins";
import { BoundedAffinityPolicy } from "../placement/BoundedAffinityPolicy";
import type { PlacementPolicy } from "../placement/types";
import { instanceRegistryName } from "../placement/InstanceRegistry";
import { crashQuarantineName } from "../quarantine/CrashQuarantine";
import { quotaLimiterName } from "../quotas/QuotaLimiter";
import { retryBudgetsName } from "../retries/RetryBudgets";
import { rolloutTrackerName } from "../rollouts/RolloutTracker";
import { workBalanceName } from "../scheduling/WorkBalance";
import { WorkPlacementPolicy } from "../scheduling/WorkPlacementPolicy";
import { servingStateName } from "../routes/ServingState";
import { plannedStopName } from "../stopping/PlannedStop";
import { eventLogName } from "../telemetry/EventLog";
import { forwardMetricsName } from "../telemetry/ForwardMetrics";
import { AnswerMemory } from "../upstreams/AnswerMemory";
import { usageLedgerName } from "../usage/UsageLedger";
import type { ServingNodeOptions } from "./servingTypes";

/**
 * Creates the context that request forwarding uses, from the node's started services.
 *
 * @param find - finds started services
 * @param options - the node's options
 * @returns the context
 */
export const createForwardContext = (find: FindService, options: ServingNodeOptions): ForwardContext => ({
    clock: options.clock,
    random: options.random,
    events: find(eventLogName),
    metrics: find(forwardMetricsName),
    protocol: options.platform.protocol,
    servingState: find(servingStateName),
    instances: find(instanceRegistryName),
    placement: createPlacement(find, options),
    work: options.settings.placement === "work" ? find(workBalanceName) : undefined,
    quotas: find(quotaLimiterName),
    quarantine: find(crashQuarantineName),
    origins: find(streamOriginsName),
    soleVersions: find(soleVersionsName),
    rollouts: find(rolloutTrackerName),
    retryBudgets: find(retryBudgetsName),
    plannedStop: find(plannedStopName),
    usage: find(usageLedgerName),
    answerMemory: new AnswerMemory(options.settings.limits.maxAnswerBytes),
});

const createPlacement = (find: FindService, { settings, random }: ServingNodeOptions): PlacementPolicy => {
    const policy = new BoundedAffinityPolicy({ random });
    return settings.placement === "work"
        ? new WorkPlacementPolicy({ balance: find(workBalanceName), policy })
        : policy;
};
