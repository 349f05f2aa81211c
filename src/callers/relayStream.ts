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
    /** Member that has the request; found anew when it is lost. */
    readonly nodeId: string | undefined;
    /** Offset of the first event to write. */
    readonly offset: number;
    readonly response: ServerResponse;
    /** Aborts when the caller's connection closes or this node must let go of it. */
    readonly closeSignal: AbortSignal;
    /** Longest search for the request, in milliseconds. */
    readonly searchTimeoutMs: number;
}

/** How a relayed stream ended. */
export type RelayOutcome =
    | { readonly kind: "whole" | "closed" | "lost"; }
    | { readonly kind: "failed"; readonly last: RemoteAnswerPart; };

const searchPauseMs = 200;

/**
 * Writes the rest of an answer that another node has, batch by batch, following it when it moves on.
 *
 * @param options - the request, where to begin and the response
 * @returns how it ended; the response is ended only when the answer is whole
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
                yield* waitFor(clock.sleep(searchPauseMs, closeSignal));
                continue;
            }
        }
        const read: RemoteAnswerPart | undefined = yield* waitFor(
            locator.readRemote(nodeId, requestId, accountId, offset).catch(() => undefined),
        );
        if (!read) {
            nodeId = undefined;
            continue;
        }
        searchingSinceMs = clock.readMonotonicMs();
        if (read.events.length > 0 && !closeSignal.aborted) {
            sendStreamHeaders(response, requestId);
            const flushed = response.write(read.events);
            offset = read.nextOffset;
            if (!flushed) {
                yield* waitFor(waitForDrain(response, closeSignal));
            }
        }
        if (read.ended) {
            sendStreamHeaders(response, requestId);
            response.end();
            return { kind: "whole" };
        }
        if (read.state === "failed" || read.state === "cancelled") {
            return { kind: "failed", last: read };
        }
        if (read.state === "handed-over") {
            nodeId = read.movedTo;
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
