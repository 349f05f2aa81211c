import type { Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { formatFailure } from "../results/formatFailure";
import { resultCodes } from "../results/resultCodes";
import type { RequestState } from "../streams/RequestRecord";
import { deliverAnswer } from "./deliverAnswer";
import { authenticateCaller } from "./authenticateCaller";
import type { CallerContext } from "./CallerContext";
import { createUnconfirmedError } from "./createUnconfirmedError";
import { createChatCompletion } from "./createChatCompletion";
import { relayAnswer } from "./relayAnswer";
import { sendJsonResponse } from "./sendJsonResponse";
import type { Exchange } from "./Exchange";

/** Body of the response to `GET /v1/requests/{id}`. */
export interface RequestStateResponse {
    readonly id: string;
    readonly state: RequestState | "open";
    readonly events?: number;
    /** The chat completion, if the request is answered. */
    readonly answer?: unknown;
    readonly error?: unknown;
}

/**
 * Serves `GET /v1/requests/{id}`, `GET /v1/requests/{id}/events` and `DELETE /v1/requests/{id}`. Any node may
 * hold the request.
 *
 * @param context - services and settings of the node
 * @param exchange - the HTTP exchange
 * @throws FailureError when the path or method is not supported, or no reachable node has the request
 */
export function* handleRequest(context: CallerContext, exchange: Exchange): Task<void> {
    const { account } = authenticateCaller(exchange.request, context.configuration);
    const [requestId, part, ...rest] = exchange.path.slice("/v1/requests/".length).split("/");
    if (rest.length > 0 || (part !== undefined && part !== "events")) {
        throw new FailureError(createFailure(resultCodes.notFound, `path "${exchange.path}" does not exist`));
    }
    const method = exchange.request.method;
    if (method === "GET" && part === "events") {
        return yield* resumeEvents(context, exchange, requestId, account.id);
    }
    if (method === "GET" && part === undefined) {
        const state = yield* readState(context, requestId, account.id);
        return sendJsonResponse(exchange.response, 200, state, { "request-id": requestId });
    }
    if (method === "DELETE" && part === undefined) {
        return yield* cancelRequest(context, exchange, requestId, account.id);
    }
    const message = `method ${method} is not supported by "${exchange.path}"`;
    throw new FailureError(createFailure(resultCodes.methodNotAllowed, message));
}

function* resumeEvents(
    context: CallerContext,
    exchange: Exchange,
    requestId: string,
    accountId: string,
): Task<void> {
    const offset = readNextOffset(exchange);
    const location = yield* waitFor(context.locator.locate(requestId, accountId));
    if (location.kind === "here") {
        return yield* deliverAnswer(context, exchange, location.record, true, offset);
    }
    if (location.kind === "member") {
        const relayed = { requestId, accountId, isStream: true, nodeId: location.nodeId, offset };
        return yield* relayAnswer(context, exchange, relayed);
    }
    throw createMissingError(location.kind, requestId);
}

function* readState(
    context: CallerContext,
    requestId: string,
    accountId: string,
): Task<RequestStateResponse> {
    const location = yield* waitFor(context.locator.locate(requestId, accountId));
    if (location.kind === "here") {
        const { record } = location;
        return {
            id: requestId,
            state: record.state,
            events: record.log.nextOffset,
            answer: record.state === "answered"
                ? createChatCompletion(requestId, record.log.read(0))
                : undefined,
            error: record.failure && formatFailure(record.failure).error,
        };
    }
    if (location.kind === "member") {
        const answerPart = yield* waitFor(
            context.locator.readRemote(location.nodeId, requestId, accountId, 0),
        );
        return {
            id: requestId,
            state: answerPart.state,
            events: answerPart.nextOffset,
            answer: answerPart.ended ? createChatCompletion(requestId, answerPart.events) : undefined,
            error: (answerPart.failure as { error?: unknown; } | undefined)?.error,
        };
    }
    const keptRow = yield* waitFor(context.keptRequests.read(requestId, accountId).catch(() => undefined));
    if (!keptRow) {
        throw createMissingError(location.kind, requestId);
    }
    const choices = [{
        index: 0,
        message: { role: "assistant", content: keptRow.text },
        finish_reason: keptRow.finishReason,
    }];
    return {
        id: requestId,
        state: keptRow.state,
        answer: keptRow.state === "answered"
            ? { id: requestId, object: "chat.completion", choices }
            : undefined,
    };
}

function* cancelRequest(
    context: CallerContext,
    exchange: Exchange,
    requestId: string,
    accountId: string,
): Task<void> {
    const location = yield* waitFor(context.locator.locate(requestId, accountId));
    if (location.kind === "here") {
        context.chatRequests.cancel(location.record);
    }
    else if (location.kind !== "member") {
        throw createMissingError(location.kind, requestId);
    }
    else {
        yield* waitFor(context.locator.cancelRemote(location.nodeId, requestId, accountId));
    }
    const state = yield* readState(context, requestId, accountId);
    sendJsonResponse(exchange.response, 200, state, { "request-id": requestId });
}

const readNextOffset = (exchange: Exchange): number => {
    const header = exchange.request.headers["last-event-id"];
    if (header === undefined) {
        return 0;
    }
    if (typeof header !== "string" || !/^\d{1,12}$/.test(header)) {
        const message = `Last-Event-ID "${String(header)}" is not the offset of an event`;
        throw new FailureError(createFailure(resultCodes.badField, message));
    }
    return Number(header) + 1;
};

const createMissingError = (kind: "unknown" | "unconfirmed", requestId: string): FailureError =>
    kind === "unconfirmed" ? createUnconfirmedError(requestId) : createUnknownRequestError(requestId);

const createUnknownRequestError = (requestId: string): FailureError =>
    new FailureError(
        createFailure(
            resultCodes.unknownRequest,
            `no reachable node has request "${requestId}" of this account`,
        ),
    );
