import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import type { CallerContext } from "./CallerContext";

const retryAfterMs = 1_000;

/**
 * Checks that this node may accept new work: it must be live, and its configuration known to be current.
 *
 * @param context - services and settings of the node
 * @throws FailureError when it may not; the refused work has not run
 */
export const checkAdmission = (context: CallerContext): void => {
    if (context.membership.ownState !== "live") {
        const others = context.membership.listLive().map(member => member.callersUrl);
        const message = `this node is leaving the cluster; use one of: ${others.slice(0, 3).join(", ")}`;
        throw new FailureError(createFailure(resultCodes.nodeLeaving, message, { retryAfterMs: 0 }));
    }
    if (!context.configuration.isCurrent()) {
        const message = "this node gets no answer from the table service or any member; "
            + "its configuration may be out of date";
        throw new FailureError(createFailure(resultCodes.notCurrent, message, { retryAfterMs }));
    }
};
