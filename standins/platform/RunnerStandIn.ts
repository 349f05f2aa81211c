import type { IncomingMessage, ServerResponse } from "node:http";
import { StandInServer } from "../StandInServer";
import { createEndlessAnswer } from "./createEndlessAnswer";
import { createRepeatedRefusal, createUnrequestedResponse } from "./strayAnswers";
import { errorAnswers, sendError } from "./errorAnswers";
import { attemptIdHeader, expectInstanceHeader, notExecutedHeader } from "./runnerHeaders";
import type { RunnerBehaviour } from "./RunnerBehaviour";
import { streamCuts } from "./streamCuts";
import { writeEndlessly } from "./writeEndlessly";

/** Which requests crash a stand-in. */
export interface CrashCause {
    /** Id of a prompt part, other than the last one, that these requests name. */
    readonly part?: string;
    /** Text that their path or body contains. */
    readonly marker?: string;
}

/** A request that the stand-in executed. */
export interface RunnerRun {
    readonly requestId: string;
    readonly headers: IncomingMessage["headers"];
    readonly url: string;
    readonly method: string;
    readonly body: string;
    /** Monotonic time of its arrival, in milliseconds. */
    readonly atMs: number;
    /** Whether the connection was closed before the response was sent completely. */
    isAborted: boolean;
}

/** A request that reached the stand-in, executed or not. */
export interface RunnerArrival {
    readonly requestId: string;
    /** Monotonic time at which it was read, in milliseconds. */
    readonly atMs: number;
}

/** Options of {@link RunnerStandIn}. */
export interface RunnerStandInOptions {
    readonly id: string;
    /** Number of events of a stream; 0 answers with a single body instead of a stream. Default 0. */
    readonly events?: number;
    /** Interval between events, in milliseconds; default 2. */
    readonly eventMs?: number;
    /** Version of its software, which is named in its events; default `v1`. */
    readonly softwareVersion?: string;
}

const defaultEventMs = 2;
const headLeadMs = 20;
const turnedAwayWindowMs = 1_000;
const defaultSoftwareVersion = "v1";

/** Stand-in for an upstream of the platform: a plain service or an engine with resumable streams. */
export class RunnerStandIn {
    readonly arrivals: RunnerArrival[] = [];
    readonly runs: RunnerRun[] = [];
    /** Bytes of endless answers that callers have taken. */
    endlessBytes = 0;
    /** Time from a request until its endless answer begins, in milliseconds. */
    endlessDelayMs = 0;
    /** Number of endless answers whose connections are open. */
    openEndless = 0;
    /** Number of endless answers that were begun, including those that have ended. */
    begunEndless = 0;
    /** Behaviours for the next requests, in order; each is used once. */
    readonly nextBehaviours: RunnerBehaviour[] = [];
    /** Decides the behaviour for a request to a path, where none is given for the next one; sound if undefined. */
    decideBehaviour: (path: string) => RunnerBehaviour | undefined = () => undefined;
    readonly server = new StandInServer((request, response, body) => this.handle(request, response, body));
    id: string;
    /** Version of its software, which is named in its events. */
    softwareVersion: string;
    /** Which requests crash the stand-in when it begins to write an answer. */
    crashCause: CrashCause = {};
    /** Whether the head of its answer is sent before it crashes. */
    sendsHeadBeforeCrash = false;
    /** Requests a second that it states in its answers to take; undefined for none. */
    limitPerS: number | undefined;
    /** Requests that it runs at the same time; it turns further ones away. */
    places = Infinity;
    /** Requests that it turns away in a second before it crashes, which it states in its answers; undefined if sound. */
    brittle: number | undefined;
    /** Time of each run of a plain request, in milliseconds. */
    workMs = 0;
    /** Monotonic time until which it answers nothing, in milliseconds. */
    silentUntilMs = -Infinity;
    /** Duration of its pauses in streams, in milliseconds. */
    pauseMs = 0;
    private running = 0;
    private readonly turnedAwayAtMs: number[] = [];
    /** Called when the stand-in crashes. */
    onCrash: () => void = () => {};

    constructor(private readonly options: RunnerStandInOptions) {
        this.id = options.id;
        this.softwareVersion = options.softwareVersion ?? defaultSoftwareVersion;
    }

    /** Host and port; available once the server has started. */
    get address(): string {
        return this.server.url.slice("http://".length);
    }

    private async handle(
        request: IncomingMessage,
        response: ServerResponse,
        body: Buffer,
    ): Promise<undefined> {
        const requestId = String(request.headers[attemptIdHeader]);
        this.arrivals.push({ requestId, atMs: performance.now() });
        if (request.headers[expectInstanceHeader] !== this.id) {
            const headers = { "x-sequoiagrade-instance-id": this.id, [attemptIdHeader]: requestId };
            sendText(response, 421, headers, "");
            return;
        }
        const isCrashing = this.isCrashing(request, body);
        const behaviour = isCrashing
            ? "crash"
            : this.nextBehaviours.shift() ?? this.decideBehaviour(request.url!);
        if (this.running >= this.places) {
            this.rejectForRoom(response, requestId);
            return;
        }
        if (behaviour === "full" || behaviour === "refuse") {
            if (behaviour === "refuse") {
                response.setHeader("retry-after", "1");
            }
            sendText(response, 503, { [notExecutedHeader]: "1", [attemptIdHeader]: requestId }, "full");
            return;
        }
        if (behaviour === "endless-refusal") {
            this.sendEndlessly(request, behaviour);
            return;
        }
        const { headers, url, method } = request;
        const run = {
            requestId,
            headers,
            url: url!,
            method: method!,
            body: body.toString("utf8"),
            atMs: performance.now(),
            isAborted: false,
        };
        this.runs.push(run);
        this.running += 1;
        response.on("close", () => {
            this.running -= 1;
            run.isAborted = !response.writableFinished;
        });
        if (behaviour === "lose") {
            request.socket.resetAndDestroy();
            return;
        }
        if (behaviour === "hang") {
            return;
        }
        if (behaviour === "crash" && !this.options.events) {
            this.onCrash();
            return;
        }
        if (behaviour?.startsWith("endless")) {
            this.sendEndlessly(request, behaviour);
            return;
        }
        const responseHeaders = {
            [attemptIdHeader]: behaviour === "mixed" ? "another" : requestId,
            "x-sequoiagrade-response-stamp": `stamp-of-${this.id}`,
            ...(behaviour === "leave" ? { "server-leaving": "1" } : {}),
            ...(this.limitPerS === undefined ? {} : { "server-limit": String(this.limitPerS) }),
            ...this.createBrittleHeader(),
        };
        if (behaviour?.startsWith("repeat-refusal")) {
            request.socket.write(
                createRepeatedRefusal(behaviour === "repeat-refusal" ? "another" : undefined),
            );
        }
        if (behaviour === "stray-success") {
            request.socket.write(createUnrequestedResponse());
        }
        await this.waitForWork();
        if (behaviour?.startsWith("unframed")) {
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
        }
        if (behaviour === "chunked-close") {
            response.shouldKeepAlive = false;
        }
        if (behaviour?.startsWith("unframed") && !this.options.events) {
            sendUnframed(response, responseHeaders, `${this.id} ${requestId}`, behaviour);
            return;
        }
        const error = behaviour && errorAnswers[behaviour];
        if (error) {
            sendError(response, responseHeaders, error);
            return;
        }
        if (behaviour === "document") {
            sendText(response, 200, { ...responseHeaders, "content-type": "application/json" }, "{}");
            return;
        }
        if (behaviour === "fail" || !this.options.events) {
            const { socket } = request;
            if (behaviour === "extra") {
                response.on(
                    "finish",
                    () => socket.write(createUnrequestedResponse("another")),
                );
            }
            sendText(response, behaviour === "fail" ? 500 : 200, responseHeaders, `${this.id} ${requestId}`);
            return;
        }
        await this.sendStream(
            response,
            responseHeaders,
            Number(request.headers["last-event-id"] ?? 0),
            behaviour,
        );
    }

    private isCrashing(request: IncomingMessage, body: Buffer): boolean {
        const { part, marker } = this.crashCause;
        const hasPart = part !== undefined && listNamedParts(request).slice(0, -1).includes(part);
        return hasPart
            || (marker !== undefined && `${request.url} ${body.toString("utf8")}`.includes(marker));
    }

    private createBrittleHeader(): Record<string, string> {
        return this.brittle === undefined ? {} : { "server-brittle": String(this.brittle) };
    }

    private async waitForWork(): Promise<void> {
        const workMs = Math.max(this.workMs, this.silentUntilMs - performance.now());
        if (workMs > 0) {
            await new Promise(resolve => setTimeout(resolve, workMs));
        }
    }

    /** Refuses a request for want of room; one too many in a second crashes a brittle stand-in. */
    private rejectForRoom(response: ServerResponse, requestId: string): void {
        const nowMs = performance.now();
        this.turnedAwayAtMs.push(nowMs);
        const recent = this.turnedAwayAtMs.filter(atMs => nowMs - atMs < turnedAwayWindowMs).length;
        if (this.brittle !== undefined && recent > this.brittle) {
            this.onCrash();
            return;
        }
        const headers = { [notExecutedHeader]: "1", [attemptIdHeader]: requestId };
        sendText(response, 503, { ...headers, ...this.createBrittleHeader() }, "full");
    }

    private async breakDown(response: ServerResponse): Promise<void> {
        if (this.sendsHeadBeforeCrash) {
            response.flushHeaders();
            await new Promise(resolve => setTimeout(resolve, headLeadMs));
        }
        this.onCrash();
    }

    /** Writes an answer without end to the connection of a request. */
    private sendEndlessly({ socket, headers }: IncomingMessage, behaviour: RunnerBehaviour): void {
        const idField = `${attemptIdHeader}: ${headers[attemptIdHeader]}`;
        const { head, chunk } = createEndlessAnswer(behaviour, idField);
        this.openEndless += 1;
        this.begunEndless += 1;
        socket.on("close", () => {
            this.openEndless -= 1;
        });
        const begin = (): void =>
            writeEndlessly(socket, head, chunk, bytes => {
                this.endlessBytes += bytes;
            });
        if (this.endlessDelayMs > 0) {
            setTimeout(begin, this.endlessDelayMs);
        }
        else {
            begin();
        }
    }

    private async sendStream(
        response: ServerResponse,
        headers: Record<string, string>,
        lastEventId: number,
        behaviour: RunnerBehaviour | undefined,
    ): Promise<void> {
        response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
        if (behaviour === "unframed-empty") {
            response.end();
            return;
        }
        for (let id = lastEventId + 1; id <= this.options.events!; id += 1) {
            const cut = behaviour && id === lastEventId + 3 ? streamCuts[behaviour] : undefined;
            if (cut) {
                response.write(`id: ${id}\nda`);
                cut(response);
                return;
            }
            if (behaviour === "stall" && id === lastEventId + 3) {
                return;
            }
            if (behaviour === "pause" && id === lastEventId + 3) {
                await new Promise(resolve => setTimeout(resolve, this.pauseMs));
            }
            if (behaviour === "crash") {
                await this.breakDown(response);
                return;
            }
            response.write(`id: ${id}\ndata: token ${id} of ${this.softwareVersion}\n\n`);
            await new Promise(resolve => setTimeout(resolve, this.options.eventMs ?? defaultEventMs));
            if (response.destroyed) {
                return;
            }
        }
        response.end();
    }
}

/** Lists the ids of the prompt parts that a request names, in order. */
export const listNamedParts = ({ headers }: Pick<IncomingMessage, "headers">): string[] =>
    String(headers["x-sequoiagrade-prompt-prefix"] ?? "").split(",").map(part => part.split(":")[0]);

/** Sends a body whose end is marked only by the close of its connection. */
const sendUnframed = (
    response: ServerResponse,
    headers: Record<string, string>,
    text: string,
    behaviour: RunnerBehaviour,
): void => {
    response.writeHead(200, headers);
    if (behaviour === "unframed-reset") {
        response.write(text.slice(0, 3), () => response.socket?.resetAndDestroy());
        return;
    }
    response.end(text);
};

const sendText = (
    response: ServerResponse,
    status: number,
    headers: Record<string, string>,
    text: string,
): void => {
    response.writeHead(status, { ...headers, "content-length": Buffer.byteLength(text) });
    response.end(text);
};
