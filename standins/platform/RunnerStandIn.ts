import type { IncomingMessage, ServerResponse } from "node:http";
import { StandInServer } from "../StandInServer";

/** How the next requests are answered; each entry is used once. */
export type RunnerBehaviour =
    /** 503 with the statement that the request was not run. */
    | "full"
    /** Runs the request and answers 500. */
    | "fail"
    /** Runs the request and resets the connection. */
    | "lose"
    /** Answers under the id of another request. */
    | "mixed"
    /** Answers, and sends a second answer that nobody asked for on the same connection. */
    | "extra"
    /** Breaks a stream off within its third event. */
    | "break"
    /** Takes the request and sends nothing. */
    | "hang"
    /** Sends two events and then nothing. */
    | "stall";

/** A request that the runner has run. */
export interface RunnerRun {
    readonly requestId: string;
    readonly headers: IncomingMessage["headers"];
    readonly url: string;
    readonly method: string;
    readonly body: string;
    /** Whether its caller left before the end. */
    isAborted: boolean;
}

/** Options of {@link RunnerStandIn}. */
export interface RunnerStandInOptions {
    readonly id: string;
    /** Events of a stream; 0 answers at once with one body. Default 0. */
    readonly events?: number;
    /** Time between two events, in milliseconds; default 2. */
    readonly eventMs?: number;
}

const notRun = "x-sequoiagrade-not-executed";
const attemptId = "x-sequoiagrade-attempt-id";
const expectInstance = "x-sequoiagrade-expect-instance";
const defaultEventMs = 2;

/** Stand-in of an upstream as the platform runs it: a plain service, or an engine whose streams can be resumed. */
export class RunnerStandIn {
    readonly runs: RunnerRun[] = [];
    /** Behaviour of the requests to come, the first one next. */
    readonly nextBehaviours: RunnerBehaviour[] = [];
    readonly server = new StandInServer((request, response, body) => this.answer(request, response, body));
    id: string;

    constructor(private readonly options: RunnerStandInOptions) {
        this.id = options.id;
    }

    /** Host and port; known after the server's start. */
    get address(): string {
        return this.server.url.slice("http://".length);
    }

    private async answer(
        request: IncomingMessage,
        response: ServerResponse,
        body: Buffer,
    ): Promise<undefined> {
        const requestId = String(request.headers[attemptId]);
        if (request.headers[expectInstance] !== this.id) {
            sendText(response, 421, { "x-sequoiagrade-instance-id": this.id }, "");
            return;
        }
        const behaviour = this.nextBehaviours.shift();
        if (behaviour === "full") {
            sendText(response, 503, { [notRun]: "1", [attemptId]: requestId }, "full");
            return;
        }
        const { headers, url, method } = request;
        const run = {
            requestId,
            headers,
            url: url!,
            method: method!,
            body: body.toString("utf8"),
            isAborted: false,
        };
        this.runs.push(run);
        response.on("close", () => {
            run.isAborted = !response.writableFinished;
        });
        if (behaviour === "lose") {
            request.socket.resetAndDestroy();
            return;
        }
        if (behaviour === "hang") {
            return;
        }
        const marks = {
            [attemptId]: behaviour === "mixed" ? "another" : requestId,
            "x-sequoiagrade-response-stamp": `stamp-of-${this.id}`,
        };
        if (behaviour === "fail" || !this.options.events) {
            const { socket } = request;
            if (behaviour === "extra") {
                response.on("finish", () => socket.write(createExtraAnswer()));
            }
            sendText(response, behaviour === "fail" ? 500 : 200, marks, `${this.id} ${requestId}`);
            return;
        }
        await this.stream(response, marks, Number(request.headers["last-event-id"] ?? 0), behaviour);
    }

    private async stream(
        response: ServerResponse,
        marks: Record<string, string>,
        after: number,
        behaviour: RunnerBehaviour | undefined,
    ): Promise<void> {
        response.writeHead(200, { ...marks, "content-type": "text/event-stream" });
        for (let id = after + 1; id <= this.options.events!; id += 1) {
            if (behaviour === "break" && id === after + 3) {
                response.write(`id: ${id}\nda`);
                response.socket?.resetAndDestroy();
                return;
            }
            if (behaviour === "stall" && id === after + 3) {
                return;
            }
            response.write(`id: ${id}\ndata: token ${id}\n\n`);
            await new Promise(resolve => setTimeout(resolve, this.options.eventMs ?? defaultEventMs));
            if (response.destroyed) {
                return;
            }
        }
        response.end();
    }
}

const createExtraAnswer = (): string => {
    const body = "not asked for";
    const head = ["HTTP/1.1 200 OK", `${attemptId}: another`, `content-length: ${body.length}`];
    return `${head.join("\r\n")}\r\n\r\n${body}`;
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
