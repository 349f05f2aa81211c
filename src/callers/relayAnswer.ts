import { breakOffResponse } from "../http/breakOffResponse";
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

/** A request whose answer is relayed from another node. */
export interface RelayedRequest {
    readonly requestId: string;
    readonly accountId: string;
    readonly isStream: boolean;
    /** Node that holds the request; undefined when it is to be located first. */
    readonly nodeId: string | undefined;
    /** Offset of the first event to send. */
    readonly offset: number;
}

const searchTimeoutMs = 10_000;
const defaultFailureStatus = 502;

/**
 * Sends a caller the answer to a request that another node holds. If this node must disconnect the caller before the
 * answer is complete, or cannot find the request, it redirects the caller to other nodes.
 *
 * @param context - services and settings of the node
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
    const outcome = yield* relayStream({
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
    switch (outcome.kind) {
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
            yield* sendRemoteFailure(exchange, outcome.last, headers);
            break;
        case "lost":
        case "closed":
            if (!exchange.closeSignal.aborted) {
                yield* redirectCaller(context, exchange, relayed, headers);
            }
            break;
    }
}

/**
 * Tells the caller at which nodes to resume. If no stream has begun and the answer is stored, the stored
 * answer is sent instead.
 */
function* redirectCaller(
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
        const comments = [": the answer is incomplete", ...urls.map(url => `: resume at ${url}`)];
        yield* waitFor(breakOffResponse(response, comments.map(text => `${text}\n\n`).join("")));
        return;
    }
    const keptRow = yield* waitFor(
        context.keptRequests.read(relayed.requestId, relayed.accountId).catch(() => undefined),
    );
    if (keptRow?.state === "answered") {
        sendJsonResponse(response, 200, { id: relayed.requestId, text: keptRow.text }, headers);
        return;
    }
    const message = `request "${relayed.requestId}" continues on another node; fetch it from ${
        urls[0] ?? "another entry node"
    }`;
    const failure = createFailure(resultCodes.nodeLeaving, message, {
        retryAfterMs: 1_000,
        run: "in-progress",
    });
    sendFailure(response, failure, headers);
}

function* sendRemoteFailure(
    { response }: Exchange,
    lastPart: RemoteAnswerPart,
    headers: Readonly<Record<string, string>>,
): Task<void> {
    const body = lastPart.failure ?? {};
    if (response.headersSent) {
        yield* waitFor(breakOffResponse(response, `data: ${JSON.stringify(body)}\n\n`));
        return;
    }
    sendJsonResponse(response, lastPart.status ?? defaultFailureStatus, body, headers);
}

/** Used in place of the HTTP response to collect a relayed answer that is to be sent as one body. */
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
        // The collected answer is sent by relayAnswer.
    }
}
