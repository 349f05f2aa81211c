import { timingSafeEqual } from "node:crypto";
import { z } from "zod";
import { formatSchemaProblems } from "../_lib/formatSchemaProblems";
import { hashText } from "../_lib/hashText";
import { parseJson } from "../_lib/parseJson";
import { parseWithSchema } from "../_lib/parseWithSchema";
import { readBearerKey } from "../callers/readBearerKey";
import { readExchangeBody } from "../callers/readExchangeBody";
import { sendJsonResponse } from "../callers/sendJsonResponse";
import type { Exchange } from "../callers/Exchange";
import type { HeldBytes } from "../http/HeldBytes";
import type { ReplicatedConfiguration } from "../configuration/ReplicatedConfiguration";
import type { ConfigurationStore } from "../configuration/ConfigurationStore";
import { parseDeclaration } from "../declaration/parseDeclaration";
import type { Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { Membership } from "../membership/Membership";
import { StoreError } from "../platform/StoreError";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import type { EventFilter } from "../telemetry/EventLog";
import type { ClusterReportCollector } from "./ClusterReportCollector";

/** Options of {@link OperatorApi}. */
export interface OperatorApiOptions {
    /** Hashes of the operators' tokens, in hexadecimal. */
    readonly tokenHashes: readonly string[];
    readonly maxBodyBytes: number;
    /** What callers make the process hold. */
    readonly heldBytes: HeldBytes;
    readonly configuration: ReplicatedConfiguration;
    readonly store: ConfigurationStore;
    readonly membership: Membership;
    readonly reports: ClusterReportCollector;
}

const pathPrefix = "/v1/operators/";
const defaultHistoryLimit = 20;

const applySchema = z.object({
    expectRevision: z.number().int().min(0),
    changeId: z.string().regex(/^[A-Za-z0-9._-]{1,100}$/, "expected 1 to 100 letters, digits, dots, dashes"),
    declaration: z.unknown(),
    dryRun: z.boolean().default(false),
}).strict();

/** HTTP API for operators: configuration, status, report and timeline. */
export class OperatorApi {
    constructor(private readonly options: OperatorApiOptions) {}

    /**
     * Authenticates and answers one request of an operator.
     *
     * @param exchange - request and response
     * @throws FailureError if the request is refused or fails
     */
    *handle(exchange: Exchange): Task<void> {
        this.authenticate(exchange);
        const path = exchange.path.slice(pathPrefix.length);
        const method = exchange.request.method;
        if (method === "POST" && path === "configuration") {
            return yield* this.applyConfiguration(exchange);
        }
        if (method !== "GET") {
            const message = `method ${method} is not supported by "${exchange.path}"`;
            throw new FailureError(createFailure(resultCodes.methodNotAllowed, message));
        }
        sendJsonResponse(exchange.response, 200, yield* this.readResource(exchange, path));
    }

    private *readResource(exchange: Exchange, path: string): Task<unknown> {
        const { configuration, reports } = this.options;
        switch (path) {
            case "configuration":
                return configuration.current.value ?? { revision: 0 };
            case "configuration/history":
                return yield* this.readHistory(exchange);
            case "configuration/status":
                return yield* this.readConfigurationStatus();
            case "status":
                return yield* waitFor(reports.collectStatus());
            case "report":
                return yield* waitFor(reports.collectReport());
            case "timeline":
                return yield* waitFor(reports.collectEvents(parseEventFilter(exchange.query)));
        }
        if (path.startsWith("configuration/changes/")) {
            return yield* this.readChange(path.slice("configuration/changes/".length));
        }
        throw new FailureError(createFailure(resultCodes.notFound, `path "${exchange.path}" does not exist`));
    }

    /** Validates a configuration change and, unless it is a dry run, applies it. */
    private *applyConfiguration(exchange: Exchange): Task<void> {
        const bytes = yield* waitFor(readExchangeBody(exchange, this.options));
        const change = parseJson(bytes.toString("utf8"))
            .chain(document =>
                parseWithSchema(applySchema, document).mapLeft(problems =>
                    createFailure(resultCodes.badField, formatSchemaProblems(problems))
                )
            )
            .ifLeft(failure => {
                throw new FailureError(failure);
            })
            .unsafeCoerce();
        if (change.dryRun) {
            parseDeclaration(change.declaration).ifLeft(failure => {
                throw new FailureError(failure);
            });
            sendJsonResponse(exchange.response, 200, {
                dryRun: true,
                revision: this.options.configuration.revision,
            });
            return;
        }
        const applied = yield* waitFor(this.options.configuration.apply({
            expectRevision: change.expectRevision,
            changeId: change.changeId,
            document: change.declaration,
        }));
        applied.ifLeft(failure => {
            throw new FailureError(failure);
        });
        sendJsonResponse(exchange.response, 200, applied.unsafeCoerce());
    }

    private *readHistory(exchange: Exchange): Task<unknown> {
        const limit = Number(exchange.query.get("limit") ?? defaultHistoryLimit);
        const history = yield* this.readFromStore(this.options.store.listHistory(Math.max(1, limit)));
        return { history };
    }

    /** Tells, for good, whether a change was committed, for operators who did not learn its outcome. */
    private *readChange(changeId: string): Task<unknown> {
        const revision = yield* this.readFromStore(this.options.store.settleChange(changeId));
        return revision === undefined
            ? { changeId, state: "not-committed" }
            : { changeId, state: "committed", revision };
    }

    /** Tells which live members have confirmed the revision that is in force on this node. */
    private *readConfigurationStatus(): Task<unknown> {
        const inForce = yield* waitFor(this.options.configuration.confirmInForce());
        const live = this.options.membership.listLive().map(member => member.nodeId);
        return {
            revision: this.options.configuration.revision,
            inForce,
            missing: live.filter(nodeId => !inForce.includes(nodeId)),
        };
    }

    /**
     * Waits for a read from the store; a {@link StoreError} becomes the failure `store-unavailable`, retryable after
     * 1 s.
     */
    private *readFromStore<T>(pending: Promise<T>): Task<T> {
        try {
            return yield* waitFor(pending);
        }
        catch (error) {
            if (error instanceof StoreError) {
                const options = { retryAfterMs: 1_000 };
                throw new FailureError(createFailure(resultCodes.storeUnavailable, error.message, options));
            }
            throw error;
        }
    }

    /** Compares the token with every stored hash in constant time. */
    private authenticate(exchange: Exchange): void {
        const token = readBearerKey(exchange.request);
        const hash = Buffer.from(hashText(token ?? ""), "hex");
        const isKnown = this.options.tokenHashes
            .map(stored => timingSafeEqual(hash, Buffer.from(stored, "hex")))
            .includes(true);
        if (token === undefined || !isKnown) {
            throw new FailureError(
                createFailure(resultCodes.unauthorized, "a valid operator token is required"),
            );
        }
    }
}

const parseEventFilter = (query: URLSearchParams): EventFilter => ({
    requestId: query.get("request") ?? undefined,
    changeId: query.get("change") ?? undefined,
    sinceMs: toNumber(query.get("since")),
    untilMs: toNumber(query.get("until")),
});

const toNumber = (text: string | null): number | undefined => text === null ? undefined : Number(text);
