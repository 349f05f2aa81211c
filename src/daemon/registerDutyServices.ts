import { clusterClockName } from "../feeds/ClusterClock";
import { InstanceScaler, instanceScalerName } from "../fleet/InstanceScaler";
import { createServiceName } from "../kernel/createServiceName";
import type { Kernel } from "../kernel/Kernel";
import { Lease } from "../leases/Lease";
import { isPoller } from "../membership/isPoller";
import { membershipName } from "../membership/Membership";
import { instanceRegistryName } from "../placement/InstanceRegistry";
import { servingStateName } from "../routes/ServingState";
import { eventLogName } from "../telemetry/EventLog";
import { usageLedgerName } from "../usage/UsageLedger";
import { UsageReporter, usageReporterName } from "../usage/UsageReporter";
import { registerRolloutKeeper } from "./registerRollouts";
import type { ServingNodeOptions, ServingPlatform } from "./servingTypes";

const dutyLeaseName = createServiceName<Lease>("duty-lease");

const leaseFactor = 1.2; // times `leaseMs`, within which two nodes must not act alternately as the holder

/**
 * Registers the services of the duties that one node at a time performs: usage reports, roll-outs and orders for upstreams.
 *
 * @param kernel - the node's kernel
 * @param options - settings and adapters
 * @param cloud - the cloud that is called
 */
export const registerDutyServices = (
    kernel: Kernel,
    { settings, platform, clock, random }: ServingNodeOptions,
    cloud: NonNullable<ServingPlatform["dutyCloud"]>,
): void => {
    const { nodeId } = settings;
    const duty = "cloud";
    const { tables, storeEra, dutyCallTimeoutMs } = platform;
    kernel.register({
        name: dutyLeaseName,
        requires: [eventLogName, membershipName],
        create: find =>
            new Lease({
                duty,
                nodeId,
                tables,
                storeEra,
                clock,
                random,
                events: find(eventLogName),
                isCandidate: () => isPoller({ membership: find(membershipName), nodeId, job: duty }),
                durationMs: settings.leaseMs * leaseFactor,
                takeoverDelayMs: dutyCallTimeoutMs,
            }),
    });
    kernel.register({
        name: usageReporterName,
        requires: [usageLedgerName, clusterClockName, dutyLeaseName],
        create: find =>
            new UsageReporter({
                ledger: find(usageLedgerName),
                clusterClock: find(clusterClockName),
                lease: find(dutyLeaseName),
                cloud,
                tables,
                storeEra,
                clock,
                events: find(eventLogName),
                dueMs: settings.usage.dueMs,
                callTimeoutMs: dutyCallTimeoutMs,
            }),
    });
    registerRolloutKeeper(kernel, { platform, clock }, dutyLeaseName);
    kernel.register({
        name: instanceScalerName,
        requires: [instanceRegistryName, dutyLeaseName, servingStateName],
        create: find =>
            new InstanceScaler({
                lease: find(dutyLeaseName),
                cloud,
                state: find(servingStateName),
                instances: find(instanceRegistryName),
                clock,
                events: find(eventLogName),
                callTimeoutMs: dutyCallTimeoutMs,
            }),
    });
};
