import type { Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { NewChatRequest } from "../streams/ChatRequests";
import type { RequestLocation } from "../streams/RequestLocator";
import type { CallerContext } from "./CallerContext";
import { createUnconfirmedError } from "./createUnconfirmedError";
import type { Exchange } from "./Exchange";

/** A request with an Idempotency-Key, which its id is made from. */
export type KeyedChatRequest = NewChatRequest & { readonly requestId: string; };

/** Location of a request that is held by this node or a member. */
export type HeldRequest = Extract<RequestLocation, { readonly kind: "here" | "member"; }>;

const searchTimeoutMs = 5_000;
const minBackoffMs = 50;
const maxBackoffMs = 300;

/**
 * Finds the node that holds the request of an Idempotency-Key, and accepts the request here if no present node does. A
 * member that does not answer, or at which the same request is about to be accepted, is asked again until it is known what
 * it holds, or it is gone.
 *
 * @param context - services and settings of the node
 * @param exchange - the HTTP exchange
 * @param request - the request
 * @returns the node that holds it
 * @throws FailureError when a present node does not answer in time, or the request is refused
 */
export function* findOrAcceptRequest(
    context: CallerContext,
    exchange: Exchange,
    request: KeyedChatRequest,
): Task<HeldRequest> {
    const { clock, random } = context;
    const latestMs = clock.readMonotonicMs() + searchTimeoutMs;
    while (!exchange.closeSignal.aborted && clock.readMonotonicMs() < latestMs) {
        const held = yield* tryFindOrAccept(context, request);
        if (held) {
            return held;
        }
        // Two nodes that accept the same request at the same time try again at different times.
        const backoffMs = minBackoffMs + random.drawInt(maxBackoffMs - minBackoffMs);
        yield* waitFor(clock.sleep(backoffMs, exchange.closeSignal));
    }
    throw createUnconfirmedError(request.requestId);
}

function* tryFindOrAccept(context: CallerContext, request: KeyedChatRequest): Task<HeldRequest | undefined> {
    const { chatRequests, locator, nodeId } = context;
    const { requestId, accountId } = request;
    const releaseClaim = locator.claim(requestId);
    try {
        const location = yield* waitFor(locator.locate(requestId, accountId));
        if (location.kind === "here" || location.kind === "member") {
            return location;
        }
        if (location.kind === "unconfirmed") {
            return undefined;
        }
        const known = locator.findHere(requestId, accountId);
        if (known) {
            return { kind: "here", record: known };
        }
        const record = yield* waitFor(chatRequests.accept(request));
        locator.publishHint(requestId, nodeId);
        return { kind: "here", record };
    }
    finally {
        releaseClaim();
    }
}
