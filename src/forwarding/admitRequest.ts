import type { IncomingMessage } from "node:http";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import { chooseTarget } from "../routes/chooseTarget";
import type { RouteTable } from "../routes/RouteTable";
import type { Route, ServedAccount } from "../routes/types";
import type { ForwardContext } from "./ForwardContext";
import type { RequestMetadata } from "./types";

/** A request that may be forwarded. */
export interface AdmittedRequest {
    readonly metadata: RequestMetadata;
    readonly route: Route;
    readonly account: ServedAccount | undefined;
    /** Service that the route's split chose. */
    readonly service: string;
    /** What the account's quota was charged. */
    readonly quotaCost: number;
    /** Version of the configuration that decided. */
    readonly version: number;
    readonly maxBodyBytes: number;
}

/** What the decision came to know, filled in as it goes, for the log line of a refused request. */
export interface AdmissionTrace {
    requestId?: string;
    route?: string;
    account?: string;
    /** Units that the request takes out of the account's quota. */
    quotaCost?: number;
    /** Units that the account may use over all nodes after the request. */
    quotaLeft?: number;
}

const startingRetryAfterMs = 300; // a process reads its configuration within a few hundred ms of its start
const staleRetryAfterMs = 500; // another node that reaches the store can answer at once

/**
 * Decides whether a request may be forwarded, and to which service: configuration, route, key, quota, in this order.
 *
 * @param context - the node's services
 * @param request - the incoming request; its body has not been read
 * @param trace - receives what is known when the request is refused
 * @returns what was decided
 * @throws FailureError when it is refused; it has then not run
 */
export const admitRequest = (
    context: ForwardContext,
    request: IncomingMessage,
    trace: AdmissionTrace = {},
): AdmittedRequest => {
    const marks = context.protocol.decodeRequest(request.headers);
    trace.requestId = marks.requestId;
    const table = context.servingState.table.value;
    if (!table) {
        throw createRefusal(
            "noConfiguration",
            "the node has not read a configuration yet",
            startingRetryAfterMs,
        );
    }
    const route = findRoute(table, request);
    trace.route = route.name;
    const account = authenticate(context, table, route, marks.apiKey);
    trace.account = account?.name;
    const service = chooseTarget(route.targets, context.random);
    if (service === undefined) {
        throw createRefusal("noRunner", `route "${route.name}" leads to no service`, staleRetryAfterMs);
    }
    return {
        metadata: marks,
        route,
        account,
        service,
        quotaCost: takeQuota(context, account, marks, trace),
        version: table.configuration.version,
        maxBodyBytes: table.configuration.limits.maxBodyBytes,
    };
};

const findRoute = (table: RouteTable, request: IncomingMessage): Route => {
    const host = request.headers.host ?? "";
    const route = table.findRoute(host, request.url ?? "/");
    if (!route) {
        throw createRefusal("noRoute", `no route leads from host "${host}" and path "${request.url}"`);
    }
    return route;
};

const authenticate = (
    context: ForwardContext,
    table: RouteTable,
    route: Route,
    key: string | undefined,
): ServedAccount | undefined => {
    if (route.isAuthExempt || !table.hasAccounts) {
        return undefined;
    }
    if (!context.servingState.isFresh()) {
        const message = `the configuration was confirmed ${
            Math.round(context.servingState.readAgeMs())
        } ms ago`;
        throw createRefusal("notCurrent", message, staleRetryAfterMs);
    }
    const account = key === undefined ? undefined : table.findAccount(key);
    if (!account) {
        throw createRefusal("unauthorized", key === undefined ? "no key was given" : "the key is not known");
    }
    return account;
};

const takeQuota = (
    context: ForwardContext,
    account: ServedAccount | undefined,
    marks: RequestMetadata,
    trace: AdmissionTrace,
): number => {
    if (!account) {
        return 0;
    }
    const tokens = marks.promptTokens === undefined ? undefined : marks.promptTokens + marks.outputTokens;
    const grant = context.quotas.acquire(account, tokens);
    trace.quotaCost = grant.cost;
    trace.quotaLeft = context.quotas.readRemaining(account);
    if (grant.kind === "exceeded") {
        const message = `account "${account.name}" has used its quota`;
        throw createRefusal("quotaExceeded", message, grant.retryAfterMs);
    }
    return grant.cost;
};

const createRefusal = (
    code: keyof typeof resultCodes,
    message: string,
    retryAfterMs?: number,
): FailureError => new FailureError(createFailure(resultCodes[code], message, { retryAfterMs }));
