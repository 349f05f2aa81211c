import type { PlainService } from "../declaration/declarationSchema";
import { isIdempotentCall } from "../declaration/isIdempotentCall";
import type { CallResult } from "../idempotency/PlainCalls";
import type { Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import { authenticateCaller } from "./authenticateCaller";
import type { CallerContext } from "./CallerContext";
import { checkAdmission } from "./checkAdmission";
import { readExchangeBody } from "./readExchangeBody";
import { readIdempotencyKey } from "./readIdempotencyKey";
import type { Exchange } from "./Exchange";
import type { AuthenticatedCaller } from "./types";

const pathPrefix = "/v1/services/";
const forwardedHeaders: readonly string[] = ["accept", "content-type", "content-encoding", "accept-language"];

/**
 * Serves calls to plain services: any method on `/v1/services/{service}/{path}`.
 *
 * @param context - services and settings of the node
 * @param exchange - the HTTP exchange
 * @throws FailureError when the call is refused or fails; its run state tells whether the call has run
 */
export function* handleService(context: CallerContext, exchange: Exchange): Task<void> {
    const { name, path } = parseTarget(exchange.target);
    const announced = authenticateCaller(exchange.request, context.configuration);
    findPlainService(announced, name);
    const method = exchange.request.method ?? "GET";
    const accountId = announced.account.id;
    const body = yield* waitFor(readExchangeBody(exchange, { ...context, accountId }));
    checkAdmission(context);
    // Again, as the body may have ended long after its head.
    const caller = authenticateCaller(exchange.request, context.configuration);
    const service = findPlainService(caller, name);
    const workClass = caller.configuration.declaration.classes
        .find(candidate => candidate.name === service.defaultClass)!;
    const call = {
        accountId: caller.account.id,
        service: service.name,
        call: {
            method,
            path,
            headers: selectHeaders(exchange),
            body: body.length > 0 ? body : undefined,
            timeoutMs: workClass.latency.wholeMs,
        },
    };
    const idempotencyKey = readIdempotencyKey(exchange.request);
    if (isIdempotentCall(service, method, path)) {
        return sendResult(context, exchange, service, yield* context.plainCalls.runIdempotent(call));
    }
    if (idempotencyKey === undefined) {
        const message =
            `${method} ${path} of service "${service.name}" is not idempotent and needs an Idempotency-Key`;
        throw new FailureError(createFailure(resultCodes.idempotencyKeyRequired, message));
    }
    sendResult(context, exchange, service, yield* context.plainCalls.runAtMostOnce(call, idempotencyKey));
}

const parseTarget = (target: string): { name: string; path: string; } => {
    const rest = target.slice(pathPrefix.length);
    const slash = rest.search(/[/?]/);
    return slash < 0
        ? { name: rest, path: "/" }
        : {
            name: rest.slice(0, slash),
            path: rest[slash] === "/" ? rest.slice(slash) : `/${rest.slice(slash)}`,
        };
};

const findPlainService = (caller: AuthenticatedCaller, name: string): PlainService => {
    const service = caller.configuration.declaration.services.find(candidate => candidate.name === name);
    if (service?.kind !== "plain") {
        throw new FailureError(
            createFailure(resultCodes.unknownService, `plain service "${name}" does not exist`),
        );
    }
    if (!caller.account.services.includes(name)) {
        const message = `account "${caller.account.id}" may not use service "${name}"`;
        throw new FailureError(createFailure(resultCodes.forbidden, message));
    }
    return service;
};

const selectHeaders = (exchange: Exchange): Record<string, string> => {
    const selected: Record<string, string> = {};
    for (const name of forwardedHeaders) {
        const value = exchange.request.headers[name];
        if (typeof value === "string") {
            selected[name] = value;
        }
    }
    const key = exchange.request.headers["idempotency-key"];
    if (typeof key === "string") {
        selected["idempotency-key"] = key;
    }
    return selected;
};

const sendResult = (
    context: CallerContext,
    exchange: Exchange,
    service: PlainService,
    result: CallResult,
): void => {
    const { answer } = result;
    const headers: Record<string, string | number> = {
        ...answer.headers,
        "content-length": answer.body.length,
    };
    if (!result.isRecorded) {
        headers["retry-may-see"] = "unknown";
    }
    if (result.isReplayed) {
        headers["idempotent-replayed"] = "true";
    }
    context.metrics.plainServiceCalls.inc({
        service: service.name,
        outcome: result.isReplayed ? "replayed" : "answered",
    });
    if (!exchange.response.destroyed) {
        exchange.response.writeHead(answer.status, headers);
        exchange.response.end(answer.body);
    }
};
