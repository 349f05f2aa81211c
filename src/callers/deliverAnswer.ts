import { waitForAbort } from "../_lib/waitForAbort";
import type { Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { RequestRecord } from "../streams/RequestRecord";
import type { CallerContext } from "./CallerContext";
import { createChatCompletion } from "./createChatCompletion";
import { relayAnswer } from "./relayAnswer";
import { sendJsonResponse } from "./sendJsonResponse";
import { sendFailure } from "./sendFailure";
import type { Exchange } from "./Exchange";
import { writeStream } from "./writeStream";

const headersDelayMs = 1_000;

/**
 * Gives a caller the answer of a request on this node, from an offset on. When the request is handed to
 * another node meanwhile, the rest is relayed from there.
 *
 * @param context - the node
 * @param exchange - the HTTP exchange
 * @param record - the request
 * @param isStream - streamed or whole
 * @param offset - first event that the caller wants
 */
export function* deliverAnswer(
    context: CallerContext,
    exchange: Exchange,
    record: RequestRecord,
    isStream: boolean,
    offset: number,
): Task<void> {
    const { response } = exchange;
    const headers = { "request-id": record.id };
    if (!isStream) {
        yield* waitFor(Promise.race([record.waitForEnd(), waitForAbort(exchange.closeSignal)]));
        if (record.state === "answered") {
            record.isDelivered = true;
            sendJsonResponse(response, 200, createChatCompletion(record.id, record.log.read(0)), headers);
        }
        else if (record.state === "handed-over") {
            yield* relayAnswer(context, exchange, toRelay(record, false, 0));
        }
        else if (record.failure) {
            sendFailure(response, record.failure, headers);
        }
        return;
    }
    const end = yield* writeStream({
        record,
        response,
        position: record.log.findPosition(Math.min(offset, record.log.nextOffset)),
        clock: context.clock,
        closeSignal: exchange.closeSignal,
        stallTimeoutMs: context.stallTimeoutMs,
        headersDelayMs,
    });
    if (end === "moved") {
        yield* relayAnswer(context, exchange, toRelay(record, true, record.log.nextOffset));
    }
    if (end === "failed" && record.failure) {
        sendFailure(response, record.failure, headers);
    }
}

const toRelay = (
    record: RequestRecord,
    isStream: boolean,
    offset: number,
): Parameters<typeof relayAnswer>[2] => ({
    requestId: record.id,
    accountId: record.description.accountId,
    isStream,
    nodeId: record.movedTo,
    offset,
});
