import type { ServerResponse } from "node:http";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { RemoteAnswerPart, RequestLocator } from "../streams/RequestLocator";
import { sendStreamHeaders } from "./sendStreamHeaders";

/** Options of {@link relayStream}. */
export interface RelayStreamOptions {
    readonly locator: RequestLocator;
    readonly clock: Clock;
    readonly requestId: string;
    readonly accountId: string;
    /** Member that holds the request; located again when it cannot be reached. */
    readonly nodeId: string | undefined;
    /** Offset of the first event to write. */
    readonly offset: number;
    readonly response: ServerResponse;
    /** Aborts when the caller's connection closes or this node must close it. */
    readonly closeSignal: AbortSignal;
    /** Maximum time to search for the request, in milliseconds. */
    readonly searchTimeoutMs: number;
}

/** How a relayed stream ended. `lost`: no node was found that holds the request. */
export type RelayOutcome =
    | { readonly kind: "whole" | "closed" | "lost"; }
    | { readonly kind: "failed"; readonly last: RemoteAnswerPart; };

const searchIntervalMs = 200;

/**
 * Writes the rest of an answer that another node holds, batch by batch. When the request moves to a further
 * node, reading continues there.
 *
 * @param options - the request, the first event and the response
 * @returns how it ended; the response is ended only when the answer is complete
 */
export function* relayStream(options: RelayStreamOptions): Task<RelayOutcome> {
    const { locator, clock, requestId, accountId, response, closeSignal } = options;
    let { nodeId, offset } = options;
    let searchingSinceMs = clock.readMonotonicMs();
    while (!closeSignal.aborted) {
        if (nodeId === undefined) {
            if (clock.readMonotonicMs() - searchingSinceMs > options.searchTimeoutMs) {
                return { kind: "lost" };
            }
            const location = yield* waitFor(locator.locate(requestId, accountId));
            nodeId = location.kind === "member" ? location.nodeId : undefined;
            if (nodeId === undefined) {
                yield* waitFor(clock.sleep(searchIntervalMs, closeSignal));
                continue;
            }
        }
        const part: RemoteAnswerPart | undefined = yield* waitFor(
            locator.readRemote(nodeId, requestId, accountId, offset).catch(() => undefined),
        );
        if (!part) {
            nodeId = undefined;
            continue;
        }
        searchingSinceMs = clock.readMonotonicMs();
        if (part.events.length > 0 && !closeSignal.aborted) {
            sendStreamHeaders(response, requestId);
            const flushed = response.write(part.events);
            offset = part.nextOffset;
            if (!flushed) {
                yield* waitFor(waitForDrain(response, closeSignal));
            }
        }
        if (part.ended) {
            sendStreamHeaders(response, requestId);
            response.end();
            return { kind: "whole" };
        }
        if (part.state === "failed" || part.state === "cancelled") {
            return { kind: "failed", last: part };
        }
        if (part.state === "handed-over") {
            nodeId = part.movedTo;
        }
    }
    return { kind: "closed" };
}

const waitForDrain = (response: ServerResponse, closeSignal: AbortSignal): Promise<void> =>
    new Promise(resolve => {
        const finish = (): void => {
            response.off("drain", finish);
            closeSignal.removeEventListener("abort", finish);
            resolve();
        };
        response.on("drain", finish);
        closeSignal.addEventListener("abort", finish);
        if (closeSignal.aborted) {
            finish();
        }
    });
