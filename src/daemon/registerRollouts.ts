import { storeClockName } from "../feeds/StoreClock";
import type { Kernel } from "../kernel/Kernel";
import type { ServiceName } from "../kernel/types";
import type { Lease } from "../leases/Lease";
import { readinessName } from "../membership/Readiness";
import { gossipMapName } from "../peers/GossipMap";
import { instanceRegistryName } from "../placement/InstanceRegistry";
import { RolloutKeeper, rolloutKeeperName } from "../rollouts/RolloutKeeper";
import { RolloutTracker, rolloutTrackerName } from "../rollouts/RolloutTracker";
import { servingStateName } from "../routes/ServingState";
import { clusterSumsName } from "../sums/ClusterSums";
import { eventLogName } from "../telemetry/EventLog";
import { feedNames } from "./feedNames";
import type { ServingNodeOptions } from "./servingTypes";

/**
 * Registers what a node knows of roll-outs, and by which it chooses versions.
 *
 * @param kernel - the node's kernel
 * @param options - settings and adapters
 */
export const registerRolloutTracker = (
    kernel: Kernel,
    { settings, platform, clock, random }: ServingNodeOptions,
): void => {
    kernel.register({
        name: rolloutTrackerName,
        requires: [
            feedNames.configurations,
            gossipMapName,
            clusterSumsName,
            instanceRegistryName,
            readinessName,
        ],
        create: find =>
            new RolloutTracker({
                feed: find(feedNames.configurations),
                gossip: find(gossipMapName),
                sums: find(clusterSumsName),
                instances: find(instanceRegistryName),
                readiness: find(readinessName),
                tables: platform.tables,
                bounds: settings.rollouts,
                clock,
                random,
                events: find(eventLogName),
            }),
    });
};

/**
 * Registers what decides on roll-outs while the node holds the lease of the duties.
 *
 * @param kernel - the node's kernel
 * @param options - adapters
 * @param leaseName - name of the lease
 */
export const registerRolloutKeeper = (
    kernel: Kernel,
    { platform, clock }: Pick<ServingNodeOptions, "platform" | "clock">,
    leaseName: ServiceName<Lease>,
): void => {
    kernel.register({
        name: rolloutKeeperName,
        requires: [
            rolloutTrackerName,
            leaseName,
            servingStateName,
            instanceRegistryName,
            readinessName,
            storeClockName,
        ],
        create: find =>
            new RolloutKeeper({
                tracker: find(rolloutTrackerName),
                lease: find(leaseName),
                state: find(servingStateName),
                instances: find(instanceRegistryName),
                readiness: find(readinessName),
                tables: platform.tables,
                storeClock: find(storeClockName),
                storeEra: platform.storeEra,
                createStatusWrite: platform.createRolloutStatusWrite,
                clock,
                events: find(eventLogName),
            }),
    });
};
