import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import type { CallerContext } from "./CallerContext";

const retryAfterMs = 1_000;

/**
 * Refuses new work on a node that is leaving or cannot know that its configuration is current.
 *
 * @param context - the node
 * @throws FailureError when new work is refused; it has then not run
 */
export const checkAdmission = (context: CallerContext): void => {
    if (context.membership.ownState !== "live") {
        const others = context.membership.listLive().map(member => member.callersUrl);
        const message = `this node is leaving; use one of: ${others.slice(0, 3).join(", ")}`;
        throw new FailureError(createFailure(resultCodes.nodeLeaving, message, { retryAfterMs: 0 }));
    }
    if (!context.configuration.isCurrent()) {
        const message = "this node hears neither the table service nor any member, "
            + "so it cannot know that its configuration is current";
        throw new FailureError(createFailure(resultCodes.notCurrent, message, { retryAfterMs }));
    }
};
