import type { IncomingMessage } from "node:http";
import type { StreamOrigin } from "../origins/types";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import { chooseTarget } from "../routes/chooseTarget";
import type { RouteTable } from "../routes/RouteTable";
import type { Route, ServedAccount } from "../routes/types";
import { quarantinedMessage } from "./constants";
import type { ForwardContext } from "./ForwardContext";
import { listSharedPartIds } from "./listSharedPartIds";
import type { RequestMetadata } from "./types";

/** A request that was admitted for forwarding. */
export interface AdmittedRequest {
    readonly metadata: RequestMetadata;
    /** Ids of the parts of the prompt that other requests may share. */
    readonly sharedParts: readonly string[];
    readonly route: Route;
    readonly account: ServedAccount | undefined;
    /** Service chosen by the traffic split of the route. */
    readonly service: string;
    /** What began the stream that the request takes up; undefined for other requests. */
    readonly origin?: StreamOrigin;
    /** Takes back what was charged to the account's quota, for a request that does not run. */
    readonly releaseQuota: () => void;
    /** Version of the configuration under which the request was admitted. */
    readonly version: number;
    /** Monotonic time of the admission, in milliseconds. */
    readonly admittedMs: number;
    readonly maxBodyBytes: number;
}

/** What is known about a request, filled in during admission. Logged for admitted and refused requests. */
export interface AdmissionTrace {
    requestId?: string;
    route?: string;
    account?: string;
    /** Ids of the parts of the prompt that other requests may share. */
    sharedParts?: readonly string[];
    /** Id of the attempt whose stream the request resumes. */
    resumes?: string;
    /** Id of the event after which it resumes the stream. */
    resumesAfter?: number;
    /** Time for which the request waited for a reading of the configuration, in milliseconds; absent if it did not. */
    heldMs?: number;
    /** Units that the request costs. */
    quotaCost?: number;
    /** Units of the account's quota over all nodes that remain after the request. */
    quotaLeft?: number;
}

const startingRetryAfterMs = 300; // a process reads its configuration within a few hundred ms after its start
const staleRetryAfterMs = 500; // another node that reaches the store can answer immediately

/**
 * Admits a request for forwarding and chooses its service. Checks configuration, route, key, id and quota, in this order.
 *
 * @param context - services of the node
 * @param request - the incoming request; its body has not been read
 * @param trace - filled with what becomes known, also if the request is refused
 * @returns the admitted request
 * @throws FailureError if the request is refused; it has then not run
 */
export const admitRequest = (
    context: ForwardContext,
    request: IncomingMessage,
    trace: AdmissionTrace = {},
): AdmittedRequest => {
    const metadata = context.protocol.decodeRequest(request.headers);
    trace.requestId = metadata.requestId;
    const sharedParts = listSharedPartIds(metadata.promptParts);
    trace.sharedParts = sharedParts;
    trace.resumes = metadata.resumedRequestId;
    trace.resumesAfter = metadata.lastEventId;
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
    const account = authenticate(context, table, route, metadata.apiKey);
    trace.account = account?.name;
    if (!metadata.requestId) {
        throw createRefusal(
            "badField",
            "the request has no id, without which its answer cannot be told from others",
        );
    }
    const quarantinedMs = context.quarantine.readRemainingMs({ partIds: sharedParts, identity: undefined });
    if (quarantinedMs !== undefined) {
        throw createRefusal("promptQuarantined", quarantinedMessage, quarantinedMs);
    }
    const service = chooseTarget(route.targets, context.random);
    if (service === undefined) {
        throw createRefusal(
            "noRunner",
            `route "${route.name}" has no target with a weight above 0`,
            staleRetryAfterMs,
        );
    }
    return {
        metadata,
        sharedParts,
        route,
        account,
        service,
        releaseQuota: acquireQuota(context, account, metadata, trace),
        version: table.configuration.version,
        admittedMs: context.clock.readMonotonicMs(),
        maxBodyBytes: table.configuration.limits.maxBodyBytes,
    };
};

const findRoute = (table: RouteTable, request: IncomingMessage): Route => {
    const host = request.headers.host ?? "";
    const route = table.findRoute(host, request.url ?? "/");
    if (!route) {
        throw createRefusal("noRoute", `no route matches host "${host}" and path "${request.url}"`);
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
        const message = `API keys cannot be checked: the configuration was last confirmed ${
            Math.round(context.servingState.readAgeMs())
        } ms ago`;
        throw createRefusal("notCurrent", message, staleRetryAfterMs);
    }
    const account = key === undefined ? undefined : table.findAccount(key);
    if (!account) {
        throw createRefusal(
            "unauthorized",
            key === undefined ? "no API key was given" : "the API key is unknown",
        );
    }
    return account;
};

const acquireQuota = (
    context: ForwardContext,
    account: ServedAccount | undefined,
    metadata: RequestMetadata,
    trace: AdmissionTrace,
): () => void => {
    if (!account) {
        return () => {};
    }
    const tokens = metadata.promptTokens === undefined
        ? undefined
        : metadata.promptTokens + metadata.outputTokens;
    const decision = context.quotas.acquire(account, tokens);
    trace.quotaCost = decision.cost;
    trace.quotaLeft = context.quotas.readRemaining(account);
    if (decision.kind === "exceeded") {
        const message = `account "${account.name}" has used its quota`;
        throw createRefusal("quotaExceeded", message, decision.retryAfterMs);
    }
    return decision.release;
};

const createRefusal = (
    code: keyof typeof resultCodes,
    message: string,
    retryAfterMs?: number,
): FailureError => new FailureError(createFailure(resultCodes[code], message, { retryAfterMs }));
