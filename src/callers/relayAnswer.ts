import type { Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { createFailure } from "../results/createFailure";
import { resultCodes } from "../results/resultCodes";
import type { RemoteAnswerPart } from "../streams/RequestLocator";
import type { CallerContext } from "./CallerContext";
import { createChatCompletion } from "./createChatCompletion";
import { relayStream } from "./relayStream";
import { sendJsonResponse } from "./sendJsonResponse";
import { sendFailure } from "./sendFailure";
import { sendStreamHeaders } from "./sendStreamHeaders";
import type { Exchange } from "./Exchange";

/** A request that another node has. */
export interface RelayedRequest {
    readonly requestId: string;
    readonly accountId: string;
    readonly isStream: boolean;
    /** The node, when it is known. */
    readonly nodeId: string | undefined;
    /** First event that the caller wants. */
    readonly offset: number;
}

const searchTimeoutMs = 10_000;
const defaultFailureStatus = 502;

/**
 * Gives a caller the answer of a request that another node has. When this node must let go of the caller
 * first, the caller is told where to go on.
 *
 * @param context - the node
 * @param exchange - the HTTP exchange
 * @param relayed - the request
 */
export function* relayAnswer(
    context: CallerContext,
    exchange: Exchange,
    relayed: RelayedRequest,
): Task<void> {
    const { response } = exchange;
    const closeSignal = AbortSignal.any([exchange.closeSignal, context.disconnectSignal]);
    const target = relayed.isStream ? response : new CollectingResponse();
    const end = yield* relayStream({
        locator: context.locator,
        clock: context.clock,
        requestId: relayed.requestId,
        accountId: relayed.accountId,
        nodeId: relayed.nodeId,
        offset: relayed.offset,
        response: target as typeof response,
        closeSignal,
        searchTimeoutMs,
    });
    const headers = { "request-id": relayed.requestId };
    switch (end.kind) {
        case "whole":
            if (target instanceof CollectingResponse) {
                sendJsonResponse(
                    response,
                    200,
                    createChatCompletion(relayed.requestId, target.content),
                    headers,
                );
            }
            break;
        case "failed":
            sendRemoteFailure(exchange, end.last, headers);
            break;
        case "lost":
        case "closed":
            if (!exchange.closeSignal.aborted) {
                yield* pointOn(context, exchange, relayed, headers);
            }
            break;
    }
}

function* pointOn(
    context: CallerContext,
    exchange: Exchange,
    relayed: RelayedRequest,
    headers: Readonly<Record<string, string>>,
): Task<void> {
    const { response } = exchange;
    const urls = context.membership.listLive()
        .map(member => `${member.callersUrl}/v1/requests/${relayed.requestId}/events`);
    if (relayed.isStream && response.headersSent) {
        sendStreamHeaders(response, relayed.requestId);
        urls.forEach(url => response.write(`: resume at ${url}\n\n`));
        yield* waitFor(new Promise<void>(resolve => response.end(() => resolve())));
        return;
    }
    const kept = yield* waitFor(
        context.keptRequests.read(relayed.requestId, relayed.accountId).catch(() => undefined),
    );
    if (kept?.state === "answered") {
        sendJsonResponse(response, 200, { id: relayed.requestId, text: kept.text }, headers);
        return;
    }
    const message = `request "${relayed.requestId}" goes on elsewhere; ask for it at ${
        urls[0] ?? "another entry"
    }`;
    const failure = createFailure(resultCodes.nodeLeaving, message, {
        retryAfterMs: 1_000,
        run: "in-progress",
    });
    sendFailure(response, failure, headers);
}

const sendRemoteFailure = (
    exchange: Exchange,
    last: RemoteAnswerPart,
    headers: Readonly<Record<string, string>>,
): void => {
    if (exchange.response.headersSent) {
        exchange.response.end(`data: ${JSON.stringify(last.failure ?? {})}\n\n`);
        return;
    }
    sendJsonResponse(exchange.response, last.status ?? defaultFailureStatus, last.failure ?? {}, headers);
};

/** Collects a relayed answer that the caller wants whole. */
class CollectingResponse {
    headersSent = true;
    destroyed = false;
    private readonly chunks: Buffer[] = [];

    /** All bytes written. */
    get content(): Buffer {
        return Buffer.concat(this.chunks);
    }

    write(chunk: Buffer): boolean {
        this.chunks.push(chunk);
        return true;
    }

    end(): void {
        // Nothing is sent until the answer is whole.
    }
}
