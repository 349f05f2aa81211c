import type { IncomingMessage } from "node:http";
import type { ReplicatedConfiguration } from "../configuration/ReplicatedConfiguration";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import type { AuthenticatedCaller } from "./types";
import { readBearerKey } from "./readBearerKey";

/**
 * Authenticates a request by its bearer key.
 *
 * @param request - the incoming request
 * @param configuration - the node's configuration
 * @returns the client account, and the configuration under which the request is served
 * @throws FailureError when no configuration has been applied yet, or the key is missing or unknown
 */
export const authenticateCaller = (
    request: IncomingMessage,
    configuration: Pick<ReplicatedConfiguration, "current" | "accounts">,
): AuthenticatedCaller => {
    const current = configuration.current.value;
    if (!current) {
        const message = "no configuration has been applied yet";
        throw new FailureError(createFailure(resultCodes.noConfiguration, message, { retryAfterMs: 1_000 }));
    }
    const key = readBearerKey(request);
    const account = key === undefined ? undefined : configuration.accounts.find(key);
    if (!account) {
        const message = key === undefined
            ? "the Authorization header has no bearer key"
            : "the bearer key is unknown";
        throw new FailureError(createFailure(resultCodes.unauthorized, message));
    }
    return { account, configuration: current };
};
