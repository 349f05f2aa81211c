import type { Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { waitWithTimeout } from "../kernel/waitWithTimeout";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import type { AdmissionTrace } from "./admitRequest";
import type { ForwardContext } from "./ForwardContext";

const maxHoldMs = 1_000; // callers give up a node that does not read their request for as long
const retryAfterMs = 200; // another node is likely to be current

/**
 * Waits until requests may be decided by the configuration. Where it was confirmed too long ago, a route may have been
 * added, moved or taken away since; the request is held while the store is read.
 *
 * @param context - services of the node
 * @param trace - filled with the time for which the request was held
 * @throws FailureError if the configuration does not become current in time; the request has then not run
 */
export function* waitForConfiguration(
    { servingState, clock }: Pick<ForwardContext, "servingState" | "clock">,
    trace: AdmissionTrace,
): Task<void> {
    if (servingState.table.value === undefined || servingState.isCurrent()) {
        return;
    }
    const startMs = clock.readMonotonicMs();
    yield* waitFor(waitWithTimeout({ clock, promises: [servingState.refresh()], timeoutMs: maxHoldMs }));
    trace.heldMs = Math.round(clock.readMonotonicMs() - startMs);
    if (!servingState.isCurrent()) {
        const message = "the configuration was confirmed too long ago, and is being read again";
        throw new FailureError(createFailure(resultCodes.notCurrent, message, { retryAfterMs }));
    }
}
