import type { IncomingMessage, ServerResponse } from "node:http";
import { ClosingConnections } from "../http/ClosingConnections";
import { HttpListener } from "../http/HttpListener";
import { createServiceName } from "../kernel/createServiceName";
import { TaskScope } from "../kernel/TaskScope";
import type { Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import { toFailure } from "../results/toFailure";
import { createLeavingFailure } from "../stopping/createLeavingFailure";
import { createStoppedFailure } from "../stopping/createStoppedFailure";
import { eventKinds } from "../telemetry/eventKinds";
import type { CallerContext } from "./CallerContext";
import { handleChat } from "./handleChat";
import { handleRequest } from "./handleRequest";
import { handleService } from "./handleService";
import { selectEntries } from "./selectEntries";
import { sendJsonResponse } from "./sendJsonResponse";
import { sendFailure } from "./sendFailure";
import { Exchange } from "./Exchange";

/** Handles exchanges under `/v1/operators/`. */
export type OperatorHandler = (exchange: Exchange) => Task<void>;

/** Options of {@link CallerServer}. */
export interface CallerServerOptions {
    readonly host: string;
    readonly port: number;
    readonly maxHeaderBytes: number;
    /** Connections that may be open at the same time. */
    readonly maxConnections: number;
}

const headersTimeoutMs = 10_000;
const keepAliveTimeoutMs = 60_000;
const validityJitter = 0.2; // ±10 %; spreads the times at which callers fetch the entries again

/** HTTP server for callers and operators. Each exchange is handled by a task of its own. */
export class CallerServer {
    private readonly listener: HttpListener;
    private readonly scope = new TaskScope();
    private readonly closing = new ClosingConnections();
    private context: CallerContext | undefined;
    private handleOperator: OperatorHandler | undefined;

    constructor(options: CallerServerOptions) {
        this.listener = new HttpListener({
            host: options.host,
            port: options.port,
            maxConnections: options.maxConnections,
            serverOptions: {
                maxHeaderSize: options.maxHeaderBytes,
                headersTimeout: headersTimeoutMs,
                keepAliveTimeout: keepAliveTimeoutMs,
                requestTimeout: 0,
                noDelay: true,
            },
            onRequest: (request, response) => this.serve(request, response),
        });
    }

    /** Port on which callers connect; available after {@link listen}. */
    get port(): number {
        return this.listener.port;
    }

    /** Number of exchanges in progress. */
    get openExchanges(): number {
        return this.scope.size;
    }

    /** Binds the port. Until {@link setContext} is called, every path except `/healthz` is refused. */
    async listen(): Promise<void> {
        await this.listener.start();
    }

    /**
     * Sets what the handlers need. From then on, exchanges are served.
     *
     * @param context - services and settings of the node
     * @param handleOperator - handles exchanges under `/v1/operators/`
     */
    setContext(context: CallerContext, handleOperator: OperatorHandler): void {
        this.context = context;
        this.handleOperator = handleOperator;
    }

    /** Stops listening, cancels the exchanges in progress and closes all connections. */
    async close(): Promise<void> {
        await this.listener.stop(() => this.scope.cancel());
    }

    private serve(request: IncomingMessage, response: ServerResponse): void {
        const target = request.url ?? "/";
        const queryStart = target.indexOf("?");
        const path = queryStart < 0 ? target : target.slice(0, queryStart);
        const exchange = new Exchange(request, response, path, target);
        if (this.isLeaving && !this.closing.closeAfter(request, response)) {
            request.resume();
            return; // not handled: the connection closes before a response
        }
        this.scope.run("exchange", () => this.handle(exchange));
    }

    private *handle(exchange: Exchange): Task<void> {
        let isCut = true; // where the task is cancelled
        try {
            yield* this.route(exchange);
            isCut = false;
        }
        catch (error) {
            isCut = false;
            this.sendError(exchange, error);
        }
        finally {
            exchange.hold?.release();
            if (isCut && this.isLeaving) {
                this.answerCut(exchange);
            }
        }
    }

    /** Whether the node stops as planned. */
    private get isLeaving(): boolean {
        return this.context !== undefined && this.context.membership.ownState !== "live";
    }

    /** Answers an exchange that the stop of the node cancels. One whose request was read may have run. */
    private answerCut(exchange: Exchange): void {
        const error = exchange.request.complete ? createStoppedFailure() : createLeavingFailure();
        this.sendError(exchange, error);
    }

    private *route(exchange: Exchange): Task<void> {
        const { path, request } = exchange;
        const context = this.context;
        if (path === "/healthz") {
            return sendJsonResponse(exchange.response, 200, { status: "ok" });
        }
        if (!context) {
            const message = "the node is starting and cannot serve requests yet";
            throw new FailureError(
                createFailure(resultCodes.noConfiguration, message, { retryAfterMs: 1_000 }),
            );
        }
        if (path.startsWith("/v1/services/")) {
            return yield* handleService(context, exchange);
        }
        if (path === "/v1/chat/completions") {
            requireMethod(exchange, "POST");
            return yield* handleChat(context, exchange);
        }
        if (path.startsWith("/v1/requests/")) {
            return yield* handleRequest(context, exchange);
        }
        if (path.startsWith("/v1/operators/")) {
            return yield* this.handleOperator!(exchange);
        }
        requireMethod(exchange, "GET");
        switch (path) {
            case "/v1/entries":
                return this.sendEntries(context, exchange);
            case "/readyz":
                return this.sendReadiness(context, exchange);
            case "/metrics":
                return yield* this.sendMetrics(context, exchange);
        }
        throw new FailureError(
            createFailure(resultCodes.notFound, `path "${request.method} ${path}" does not exist`),
        );
    }

    private sendEntries(context: CallerContext, exchange: Exchange): void {
        const jitter = 1 - validityJitter / 2 + context.random.drawFloat() * validityJitter;
        sendJsonResponse(exchange.response, 200, {
            entries: selectEntries({ members: context.membership.members.value, random: context.random }),
            validForMs: Math.round(context.entriesValidMs * jitter),
            revision: context.configuration.revision,
        });
    }

    private sendReadiness(context: CallerContext, exchange: Exchange): void {
        const problems: string[] = [];
        if (context.membership.ownState !== "live") {
            problems.push("leaving");
        }
        if (!context.configuration.current.value) {
            problems.push("no configuration");
        }
        if (!context.configuration.isCurrent()) {
            problems.push("configuration not current");
        }
        sendJsonResponse(exchange.response, problems.length === 0 ? 200 : 503, {
            ready: problems.length === 0,
            problems,
        });
    }

    private *sendMetrics(context: CallerContext, exchange: Exchange): Task<void> {
        const text = yield* waitFor(context.metrics.registry.metrics());
        exchange.response.writeHead(200, { "content-type": context.metrics.registry.contentType });
        exchange.response.end(text);
    }

    private sendError(exchange: Exchange, error: unknown): void {
        const failure = toFailure(error);
        this.context?.metrics.refusals.inc({ code: String(failure.resultCode.code) });
        if (failure.resultCode === resultCodes.internalError) {
            this.context?.events.emit(eventKinds.taskFailed, { task: exchange.path, error: String(error) });
        }
        if (failure.resultCode === resultCodes.bodyTooLarge) {
            exchange.response.shouldKeepAlive = false;
        }
        sendFailure(exchange.response, failure);
    }
}

const requireMethod = (exchange: Exchange, method: string): void => {
    if (exchange.request.method !== method) {
        const message = `"${exchange.path}" accepts only the method ${method}`;
        throw new FailureError(createFailure(resultCodes.methodNotAllowed, message));
    }
};

/** Name of the caller server. */
export const callerServerName = createServiceName<CallerServer>("caller-server");
