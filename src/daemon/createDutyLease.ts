import type { Kernel } from "../kernel/Kernel";
import { Lease } from "../leases/Lease";
import { isPoller } from "../membership/isPoller";
import { membershipName } from "../membership/Membership";
import { eventLogName } from "../telemetry/EventLog";
import type { EntryNodeOptions } from "./types";

/** Time-out of a call that only the holder of a lease makes, in milliseconds; a new holder waits as long. */
export const dutyCallTimeoutMs = 2_000;

/**
 * Creates the lease of a duty. Its candidates are the two members that {@link isPoller} selects for it.
 *
 * @param kernel - the node's kernel
 * @param duty - name of the duty
 * @param options - settings and adapters
 * @returns the lease, not started
 */
export const createDutyLease = (kernel: Kernel, duty: string, options: EntryNodeOptions): Lease => {
    const { settings, platform, clock, random } = options;
    return new Lease({
        duty,
        nodeId: settings.nodeId,
        tables: platform.tables,
        clock,
        random,
        events: kernel.find(eventLogName),
        isCandidate: () =>
            isPoller({ membership: kernel.find(membershipName), nodeId: settings.nodeId, job: duty }),
        takeoverDelayMs: dutyCallTimeoutMs,
    });
};
