import type { IncomingMessage, ServerResponse } from "node:http";
import { waitForPendingInput } from "../_lib/waitForPendingInput";
import { type BodyRoom, readBody } from "../callers/readBody";
import { sendFailure } from "../callers/sendFailure";
import { ClosingConnections } from "../http/ClosingConnections";
import type { ConnectionLimit } from "../http/ConnectionLimit";
import { HeldBytes, type Hold } from "../http/HeldBytes";
import { HttpListener } from "../http/HttpListener";
import { createServiceName } from "../kernel/createServiceName";
import { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { waitWithTimeout } from "../kernel/waitWithTimeout";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import { toFailure } from "../results/toFailure";
import type { Failure } from "../results/types";
import type { CallerLimits } from "../routes/types";
import type { PlannedStop } from "../stopping/PlannedStop";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { type AdmissionTrace, admitRequest, type AdmittedRequest } from "./admitRequest";
import { computeDeadlineMs } from "./computeDeadlineMs";
import { createLeavingFailure } from "../stopping/createLeavingFailure";
import { createStoppedFailure } from "../stopping/createStoppedFailure";
import { StopRefusal } from "./StopRefusal";
import { renewAdmission } from "./renewAdmission";
import { resolveOrigin } from "./resolveOrigin";
import { waitForConfiguration } from "./waitForConfiguration";
import { describeSharedParts } from "./describeSharedParts";
import { drainRequest } from "./drainRequest";
import type { ForwardContext } from "./ForwardContext";
import { RequestForwarder } from "./RequestForwarder";

/** Options of {@link ForwardServer}. */
export interface ForwardServerOptions {
    readonly host: string;
    readonly port: number;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly plannedStop: PlannedStop;
    /** Formats a wait for the `Retry-After` header; whole seconds by default. */
    readonly formatRetryAfter?: (retryAfterMs: number) => string;
    /** Maximum size of a request's headers, in bytes; default 16,384. */
    readonly maxHeaderBytes?: number;
    /** Bytes of requests that callers may make the process hold; default 64 MiB. */
    readonly maxHeldBytes?: number;
    /** Connections of callers; default: no limit. */
    readonly maxConnections?: number;
}

const defaultMaxHeaderBytes = 16_384;
const defaultMaxHeldBytes = 67_108_864;
const initialLimits = { headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }; // in force until a configuration is read
const timeoutCheckIntervalMs = 1_000; // time-outs of callers take effect up to this much late
const firstRequestGraceMs = 1_000; // a connection may be idle for a moment before its first request
const startingRetryAfterMs = 300;
const msPerSecond = 1_000;
const maxTimerMs = 2_147_483_647;

/** HTTP server for requests to be forwarded. Each exchange runs as one task. */
export class ForwardServer {
    private readonly listener: HttpListener;
    private readonly scope: TaskScope;
    private context: ForwardContext | undefined;
    private readonly openResponses = new Set<ServerResponse>();
    private readonly closing = new ClosingConnections();
    /** What callers make the process hold. */
    readonly heldBytes: HeldBytes;
    /** Monotonic time of the last request's arrival, in milliseconds. */
    private lastArrivalMs = -Infinity;

    constructor(private readonly options: ForwardServerOptions) {
        this.scope = new TaskScope({
            onTaskError: (task, error) =>
                options.events.emit(eventKinds.taskFailed, { task, error: String(error) }),
        });
        const { clock, maxHeldBytes = defaultMaxHeldBytes, maxConnections } = options;
        this.heldBytes = new HeldBytes({ maxBytes: maxHeldBytes, clock });
        this.listener = new HttpListener({
            host: options.host,
            port: options.port,
            maxConnections,
            serverOptions: {
                maxHeaderSize: options.maxHeaderBytes ?? defaultMaxHeaderBytes,
                connectionsCheckingInterval: timeoutCheckIntervalMs,
                requestTimeout: 0,
                noDelay: true,
            },
            onRequest: (request, response) => this.serve(request, response),
        });
        this.applyLimits(initialLimits);
    }

    /** Port on which callers connect; known after {@link start}. */
    get port(): number {
        return this.listener.port;
    }

    /** Limit of callers' connections; undefined if there is none. */
    get connectionLimit(): ConnectionLimit | undefined {
        return this.listener.connectionLimit;
    }

    /** Number of exchanges in progress. */
    get openExchanges(): number {
        return this.scope.size;
    }

    /** Binds the port. Requests are refused as not run until {@link setContext} is called. */
    async start(): Promise<void> {
        await this.listener.start();
    }

    /** Sets the services needed for forwarding; from then on requests are served. */
    setContext(context: ForwardContext): void {
        this.context = context;
    }

    /** Applies the time-outs of the configuration to callers' connections. */
    applyLimits(limits: Pick<CallerLimits, "headerTimeoutMs" | "idleTimeoutMs">): void {
        this.listener.server.keepAliveTimeout = toTimerMs(limits.idleTimeoutMs);
        this.listener.server.headersTimeout = toTimerMs(limits.headerTimeoutMs + firstRequestGraceMs);
    }

    /** Closes each keep-alive connection after its last response, those of requests in progress included. */
    stopKeepAlive(): void {
        this.openResponses.forEach(response => void this.closing.closeAfter(response.req, response));
    }

    /** Whether no exchange is in progress and no request has arrived for at least the given time, in milliseconds. */
    isIdleFor(durationMs: number): boolean {
        return this.openExchanges === 0
            && this.options.clock.readMonotonicMs() - this.lastArrivalMs >= durationMs;
    }

    async stop(): Promise<void> {
        await this.listener.stop(() => this.scope.cancel());
    }

    private serve(request: IncomingMessage, response: ServerResponse): void {
        const arrivedMs = this.options.clock.readMonotonicMs();
        this.lastArrivalMs = arrivedMs;
        if (this.options.plannedStop.isPlanned && !this.closing.closeAfter(request, response)) {
            request.resume();
            return; // not passed on: the connection closes before a response
        }
        this.openResponses.add(response);
        response.on("close", () => this.openResponses.delete(response));
        this.scope.run("forward", () => this.handle(request, response, arrivedMs));
    }

    private *handle(request: IncomingMessage, response: ServerResponse, arrivedMs: number): Task<void> {
        const { context } = this;
        if (!context) {
            this.refuse(request, response, createStartingFailure());
            return;
        }
        const admission: AdmissionTrace = {};
        let forwarder: RequestForwarder | undefined;
        let hold: Hold | undefined;
        let outcome = "cut"; // where the task is cancelled
        let reason: string | undefined;
        try {
            yield* waitForConfiguration(context, admission);
            const received = admitRequest(context, request, admission);
            const { admitted, body } = yield* this.prepare(context, request, received, {
                arrivedMs,
                trace: admission,
                onHold: taken => {
                    hold = taken;
                },
            });
            forwarder = new RequestForwarder({ context, request, response, admitted, body, arrivedMs });
            outcome = yield* forwarder.run();
        }
        catch (error) {
            const failure = toFailure(error);
            if (failure.resultCode === resultCodes.internalError) {
                context.events.emit(eventKinds.taskFailed, { task: "forward", error: describeError(error) });
            }
            this.refuse(request, response, failure);
            outcome = failure.resultCode.name;
            reason = failure.message;
        }
        finally {
            hold?.release();
            if (outcome === "cut") {
                this.answerCut(request, response, forwarder?.recorder.trace.sends ?? 0);
            }
            this.report(context, { response, arrivedMs, admission, forwarder, outcome, reason });
        }
    }

    /**
     * Reads the body of a request, renews its admission and binds it. Releases the quota charged for it if one fails, or if
     * the node stops too soon for the request.
     */
    private *prepare(
        context: ForwardContext,
        request: IncomingMessage,
        received: AdmittedRequest,
        { arrivedMs, trace, onHold }: PrepareOptions,
    ): Task<{ readonly admitted: AdmittedRequest; readonly body: Buffer; }> {
        let admitted = received;
        try {
            const deadlineMs = computeDeadlineMs(received, arrivedMs);
            const owner = received.account?.name ?? request.socket.remoteAddress ?? "";
            const room = { held: this.heldBytes, owner, onHold };
            const body = yield* this.readBody(request, received.maxBodyBytes, deadlineMs, room);
            admitted = renewAdmission({ context, request, admitted, trace });
            return { admitted: yield* resolveOrigin(context, admitted), body };
        }
        catch (error) {
            admitted.releaseQuota();
            throw error;
        }
    }

    /** Reads the body of a request until its deadline, and for as long as the node does not stop too soon for the request. */
    private *readBody(
        request: IncomingMessage,
        maxBytes: number,
        deadlineMs: number,
        room: BodyRoom,
    ): Task<Buffer> {
        const refusal = new StopRefusal(this.options.plannedStop, deadlineMs);
        try {
            refusal.check();
            const promises = [readBody(request, maxBytes, room), refusal.refused];
            const early = yield* waitFor(Promise.race([...promises, waitForPendingInput()])); // mostly with the head
            const body = early ?? (yield* this.waitForBody(promises, deadlineMs));
            refusal.check();
            return body;
        }
        finally {
            refusal.close();
        }
    }

    private *waitForBody(promises: readonly Promise<Buffer>[], deadlineMs: number): Task<Buffer> {
        const { clock } = this.options;
        const timeoutMs = deadlineMs - clock.readMonotonicMs();
        const body = yield* waitFor(waitWithTimeout({ clock, promises, timeoutMs }));
        if (!body) {
            throw createBodyTimeoutFailure();
        }
        return body;
    }

    /** Answers a request whose task was cancelled before its response began. */
    private answerCut(request: IncomingMessage, response: ServerResponse, sends: number): void {
        if (!this.options.plannedStop.isPlanned || response.headersSent) {
            return;
        }
        const { failure } = sends > 0 ? createStoppedFailure() : createLeavingFailure();
        this.refuse(request, response, failure);
    }

    private refuse(request: IncomingMessage, response: ServerResponse, failure: Failure): void {
        const { formatRetryAfter } = this.options;
        const headers: Record<string, string> = {};
        if (failure.retryAfterMs !== undefined && formatRetryAfter) {
            headers["retry-after"] = formatRetryAfter(failure.retryAfterMs);
        }
        if (failure.resultCode === resultCodes.bodyTimeout) {
            response.shouldKeepAlive = false;
        }
        void drainRequest({
            request,
            clock: this.options.clock,
            timeoutMs: this.listener.server.keepAliveTimeout,
        });
        sendFailure(response, formatRetryAfter ? { ...failure, retryAfterMs: undefined } : failure, headers);
    }

    private report(context: ForwardContext, ended: EndedExchange): void {
        const { admission, forwarder, outcome, response } = ended;
        const wholeMs = this.options.clock.readMonotonicMs() - ended.arrivedMs;
        const route = admission.route ?? "none";
        const trace = forwarder?.recorder.trace;
        context.metrics.requests.inc({ route, outcome });
        if (outcome === "answered") {
            context.metrics.durationSeconds.observe({ route }, wholeMs / msPerSecond);
            context.metrics.firstByteSeconds.observe(
                { route },
                (trace?.firstByteMs ?? wholeMs) / msPerSecond,
            );
        }
        context.events.emit(eventKinds.requestForwarded, {
            requestId: admission.requestId,
            route,
            account: admission.account,
            sharedParts: describeSharedParts(admission.sharedParts ?? []),
            resumes: admission.resumes,
            resumesAfter: admission.resumesAfter,
            heldMs: admission.heldMs,
            quotaCost: admission.quotaCost,
            quotaLeft: roundNumber(admission.quotaLeft),
            service: forwarder?.service,
            version: context.servingState.table.value?.configuration.version,
            versionAgeMs: roundNumber(context.servingState.readAgeMs()),
            ...trace,
            hasBegun: forwarder?.hasBegun,
            firstByteMs: roundNumber(trace?.firstByteMs),
            status: response.headersSent ? response.statusCode : undefined,
            outcome,
            reason: ended.reason ?? forwarder?.endReason,
            wholeMs: roundNumber(wholeMs),
        });
    }
}

const createStartingFailure = (): Failure =>
    createFailure(resultCodes.noConfiguration, "the node is starting", {
        retryAfterMs: startingRetryAfterMs,
    });

const createBodyTimeoutFailure = (): FailureError =>
    new FailureError(createFailure(resultCodes.bodyTimeout, "the body did not arrive in time"));

/** Limits a duration to what timers accept: a server with another one throws at its next response. */
const toTimerMs = (durationMs: number): number => Math.min(maxTimerMs, Math.max(0, durationMs));

interface PrepareOptions {
    readonly arrivedMs: number;
    readonly trace: AdmissionTrace;
    readonly onHold: BodyRoom["onHold"];
}

interface EndedExchange {
    readonly response: ServerResponse;
    readonly arrivedMs: number;
    readonly admission: AdmissionTrace;
    readonly forwarder: RequestForwarder | undefined;
    readonly outcome: string;
    readonly reason: string | undefined;
}

const roundNumber = (value: number | undefined): number | undefined =>
    value === undefined || !Number.isFinite(value) ? undefined : Math.round(value);

const describeError = (error: unknown): string =>
    error instanceof Error ? error.stack ?? error.message : String(error);

/** Name of the forward server service. */
export const forwardServerName = createServiceName<ForwardServer>("forward-server");
