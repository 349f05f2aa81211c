import type { Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { RequestLocation } from "../streams/RequestLocator";
import type { CallerContext } from "./CallerContext";
import { createUnconfirmedError } from "./createUnconfirmedError";
import type { Exchange } from "./Exchange";

const searchTimeoutMs = 5_000;
const searchIntervalMs = 200;

/**
 * Finds the node that holds the request of an Idempotency-Key. A request that is said to be unknown may be accepted here,
 * so members that do not answer are asked again until they do or are gone.
 *
 * @param context - services and settings of the node
 * @param exchange - the HTTP exchange
 * @param requestId - the request of the key
 * @param accountId - the account that asks
 * @returns the node, or that no present node holds the request
 * @throws FailureError when a present node does not answer in time
 */
export function* locateKeyedRequest(
    context: CallerContext,
    exchange: Exchange,
    requestId: string,
    accountId: string,
): Task<RequestLocation> {
    const { clock, locator } = context;
    const latestMs = clock.readMonotonicMs() + searchTimeoutMs;
    while (!exchange.closeSignal.aborted && clock.readMonotonicMs() < latestMs) {
        const location = yield* waitFor(locator.locate(requestId, accountId));
        if (location.kind !== "unconfirmed") {
            return location;
        }
        yield* waitFor(clock.sleep(searchIntervalMs, exchange.closeSignal));
    }
    throw createUnconfirmedError(requestId);
}
