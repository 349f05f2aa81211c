/** A model runner that streams events, and that can crash and start again under its id and address. */
import { createServer } from "node:http";
import { sleep } from "./deployment.mjs";

const slots = 96;

export class ModelRunner {
    #sockets = new Set();
    #life = { isOver: true };
    #beats;
    #port = 0;
    #seq = 0;

    /**
     * @param options - `id`, `version` of its software, `store`, and how it streams: `events` of each stream, `eventMs`
     *     between them; `onArrival` is called with each request that it begins to run
     */
    constructor(options) {
        this.options = { onArrival: () => {}, ...options };
        this.version = options.version;
    }

    get isRunning() {
        return !this.#life.isOver;
    }

    /**
     * Starts the process of the runner.
     *
     * @param options - `firstBeatMs` until it writes its entry for the first time, `heartbeatMs` between further ones
     */
    async start({ firstBeatMs = 0, heartbeatMs = 1_200 } = {}) {
        const life = { isOver: false };
        this.#life = life;
        this.born = Date.now();
        this.#seq = 0;
        this.server = createServer((request, response) => this.#receive(request, response, life));
        this.server.on("connection", socket => {
            this.#sockets.add(socket);
            socket.on("error", () => {});
            socket.on("close", () => this.#sockets.delete(socket));
        });
        await new Promise(resolve => this.server.listen(this.#port, "127.0.0.1", resolve));
        this.#port = this.server.address().port;
        this.#beats = setTimeout(() => {
            this.#beat();
            this.#beats = setInterval(() => this.#beat(), heartbeatMs);
        }, firstBeatMs);
    }

    /** Ends the process at once: its connections are reset, and it writes nothing more. */
    crash() {
        this.#life.isOver = true;
        clearTimeout(this.#beats);
        clearInterval(this.#beats);
        this.#sockets.forEach(socket => socket.resetAndDestroy());
        this.server.close();
    }

    /** Removes its entry, as the store does after three heartbeats of silence. */
    removeEntry() {
        this.options.store.put("servers", this.options.id, undefined);
    }

    #beat() {
        const { id, store, service = "llm" } = this.options;
        this.#seq += 1;
        store.put("servers", id, {
            service,
            address: `127.0.0.1:${this.#port}`,
            zone: "zone-a",
            version: this.version,
            slots,
            state: "ready",
            seq: this.#seq,
            born: this.born,
        });
    }

    #receive(request, response, life) {
        let body = "";
        request.on("data", chunk => {
            body += chunk;
        });
        request.on("error", () => {});
        request.on("end", () => {
            const { id } = this.options;
            const attemptId = request.headers["x-sequoiagrade-attempt-id"];
            if (request.headers["x-sequoiagrade-expect-instance"] !== id) {
                const headers = {
                    "x-sequoiagrade-attempt-id": attemptId,
                    "x-sequoiagrade-not-executed": "1",
                };
                response.writeHead(421, headers).end();
                return;
            }
            this.options.onArrival({ runner: this, attemptId, body });
            void this.#stream(request, response, life, body);
        });
    }

    async #stream(request, response, life, body) {
        const { events, eventMs, shouldCrash = () => false } = this.options;
        const { version } = this;
        response.writeHead(200, {
            "x-sequoiagrade-attempt-id": request.headers["x-sequoiagrade-attempt-id"],
            "x-sequoiagrade-response-stamp": `stamp-${this.options.id}`,
            "content-type": "text/event-stream",
        });
        const beganMs = performance.now();
        for (let id = Number(request.headers["last-event-id"] ?? 0) + 1; id <= events; id += 1) {
            if (life.isOver || response.destroyed) {
                return;
            }
            response.write(`id: ${id}\ndata: token ${id} of ${version}\n\n`);
            await sleep(eventMs);
            if (!life.isOver && shouldCrash(body, performance.now() - beganMs)) {
                this.options.onCrash(this);
                return;
            }
        }
        response.end();
    }
}
