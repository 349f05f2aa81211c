import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import { quarantinedMessage } from "./constants";
import { createLeavingFailure } from "../stopping/createLeavingFailure";
import { createStoppedFailure } from "../stopping/createStoppedFailure";
import type { StreamBinding } from "./StreamBinding";
import type { AttemptResult } from "./types";

/** Input of {@link createFinalFailure}. */
export interface FinalFailureInput {
    /** Result of the last attempt. */
    readonly result: Exclude<AttemptResult, { kind: "answered"; }>;
    /** Number of attempts after which the request may have run. */
    readonly runs: number;
    readonly binding: Pick<StreamBinding, "isGone" | "softwareVersion">;
    /** Whether the stop of the node would allow to send the request now. */
    readonly isAllowedByStop: boolean;
    /** Reads how long the request is refused because of a part of its prompt, in milliseconds. */
    readonly readQuarantinedMs: () => number | undefined;
    /** Reads the time until the first upstream of the service accepts requests again, in milliseconds. */
    readonly readRefusalMs: () => number | undefined;
}

const unavailableRetryAfterMs = 300; // requests to plain services take tens of ms, streams a few seconds

/**
 * Creates the failure with which the node itself answers a request that got no answer to pass on. It says "not run" only
 * where no attempt may have run.
 *
 * @param input - the last attempt, and what is known about the request
 * @returns the failure
 */
export const createFinalFailure = (input: FinalFailureInput): FailureError => {
    const { result, runs, binding } = input;
    if (result.kind === "interrupted" && result.by === "stopping") {
        return runs > 0 ? createStoppedFailure() : createLeavingFailure();
    }
    const isTimeout = result.kind === "interrupted";
    const message = isTimeout ? "the deadline of the request has passed" : result.message;
    if (runs > 0) {
        const code = isTimeout ? resultCodes.deadlinePassed : resultCodes.upstreamFailed;
        return new FailureError(createFailure(code, message));
    }
    if (!input.isAllowedByStop) {
        return createLeavingFailure();
    }
    if (binding.isGone()) {
        const reason =
            `no upstream runs software version "${binding.softwareVersion}", which began the stream`;
        return new FailureError(createFailure(resultCodes.streamOriginLost, reason));
    }
    const quarantinedMs = input.readQuarantinedMs();
    if (quarantinedMs !== undefined) {
        const options = { retryAfterMs: quarantinedMs };
        return new FailureError(createFailure(resultCodes.promptQuarantined, quarantinedMessage, options));
    }
    const code = isTimeout ? resultCodes.deadlineUnreachable : resultCodes.noRunner;
    const retryAfterMs = input.readRefusalMs() ?? unavailableRetryAfterMs;
    return new FailureError(createFailure(code, message, { retryAfterMs }));
};
