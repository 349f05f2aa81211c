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
import { readBody } from "./readBody";
import { readIdempotencyKey } from "./readIdempotencyKey";
import type { Exchange } from "./Exchange";
import type { AuthenticatedCaller } from "./types";

const pathPrefix = "/v1/services/";
const passedHeaders: readonly string[] = ["accept", "content-type", "content-encoding", "accept-language"];

/**
 * Serves `ANY /v1/services/{service}/{path}`: a call to a plain service.
 *
 * @param context - the node
 * @param exchange - the HTTP exchange
 * @throws FailureError when the call is refused, with what is known of its run
 */
export function* handleService(context: CallerContext, exchange: Exchange): Task<void> {
    const caller = authenticateCaller(exchange.request, context.configuration);
    const { name, path } = splitTarget(exchange.target);
    const service = findPlainService(caller, name);
    const method = exchange.request.method ?? "GET";
    const body = yield* waitFor(readBody(exchange.request, context.maxBodyBytes));
    checkAdmission(context);
    const workClass = caller.configuration.declaration.classes
        .find(candidate => candidate.name === service.defaultClass)!;
    const call = {
        accountId: caller.account.id,
        service: service.name,
        call: {
            method,
            path,
            headers: pickHeaders(exchange),
            body: body.length > 0 ? body : undefined,
            timeoutMs: workClass.latency.wholeMs,
        },
    };
    const idempotencyKey = readIdempotencyKey(exchange.request);
    if (isIdempotentCall(service, method, path)) {
        return finish(context, exchange, service, yield* context.plainCalls.runIdempotent(call));
    }
    if (idempotencyKey === undefined) {
        const message =
            `${method} ${path} of service "${service.name}" is not idempotent and needs an Idempotency-Key`;
        throw new FailureError(createFailure(resultCodes.idempotencyKeyRequired, message));
    }
    finish(context, exchange, service, yield* context.plainCalls.runAtMostOnce(call, idempotencyKey));
}

const splitTarget = (target: string): { name: string; path: string; } => {
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

const pickHeaders = (exchange: Exchange): Record<string, string> => {
    const picked: Record<string, string> = {};
    for (const name of passedHeaders) {
        const value = exchange.request.headers[name];
        if (typeof value === "string") {
            picked[name] = value;
        }
    }
    const key = exchange.request.headers["idempotency-key"];
    if (typeof key === "string") {
        picked["idempotency-key"] = key;
    }
    return picked;
};

const finish = (
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
    context.metrics.shortCalls.inc({
        service: service.name,
        outcome: result.isReplayed ? "replayed" : "answered",
    });
    if (!exchange.response.destroyed) {
        exchange.response.writeHead(answer.status, headers);
        exchange.response.end(answer.body);
    }
};
