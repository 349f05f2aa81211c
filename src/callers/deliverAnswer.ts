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
 * Sends a caller the answer to a request that this node holds, from an offset on. When the request is handed
 * over to another node meanwhile, the rest is relayed from that node.
 *
 * @param context - services and settings of the node
 * @param exchange - the HTTP exchange
 * @param record - the request
 * @param isStream - whether to send an event stream; otherwise one JSON body
 * @param offset - offset of the first event to send; a JSON body always has the whole answer
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
            yield* relayAnswer(context, exchange, toRelayedRequest(record, false, 0));
        }
        else if (record.failure) {
            sendFailure(response, record.failure, headers);
        }
        return;
    }
    const outcome = yield* writeStream({
        record,
        response,
        position: record.log.findPosition(Math.min(offset, record.log.nextOffset)),
        clock: context.clock,
        closeSignal: exchange.closeSignal,
        stallTimeoutMs: context.stallTimeoutMs,
        headersDelayMs,
    });
    if (outcome === "moved") {
        yield* relayAnswer(context, exchange, toRelayedRequest(record, true, record.log.nextOffset));
    }
    if (outcome === "failed" && record.failure) {
        sendFailure(response, record.failure, headers);
    }
}

const toRelayedRequest = (
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
