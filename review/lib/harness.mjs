/** Starts the product's nodes as processes, with stand-ins for the platform, and records what happens. */
import { fork, spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, createServer, request as httpRequest } from "node:http";
import { createRequire } from "node:module";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const require = createRequire(import.meta.url);

export const exitCodes = { held: 0, broken: 1, notRun: 2 };
/** Whether the disruption is to be brought about. */
export const hasTrouble = process.env.TROUBLE !== "0";

const metricsPort = 9_464; // fixed by the deploy file, so every node has a loopback address of its own
const maxRunMs = 110_000;
const children = new Set();
const closers = [];
const startMs = performance.now();
let isEnding = false;
let recordFile;
let folder;

export const pause = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Appends a line to the case's record. */
export const record = (...words) => {
    const text = words.map(word => typeof word === "string" ? word : JSON.stringify(word)).join(" ");
    const line = `${Math.round(performance.now() - startMs)} ms  ${text}`;
    appendFileSync(recordFile, `${line}\n`);
};

/** Waits until a condition holds; throws if it does not hold in time. */
export const waitUntil = async (name, condition, timeoutMs = 20_000) => {
    const endMs = performance.now() + timeoutMs;
    while (!(await condition())) {
        if (performance.now() > endMs) {
            throw new Error(`timed out waiting until ${name}`);
        }
        await pause(20);
    }
};

const runCleanup = async () => {
    isEnding = true;
    children.forEach(child => child.kill("SIGKILL"));
    await Promise.all(closers.map(close => close()));
    rmSync(folder, { recursive: true, force: true });
};

/**
 * Runs a case and ends the process with its exit code.
 *
 * @param url - `import.meta.url` of the case
 * @param body - returns true if the rule held
 */
export const runCase = async (url, body) => {
    recordFile = join(dirname(fileURLToPath(url)), "record.txt");
    folder = mkdtempSync(join(tmpdir(), "review-"));
    writeFileSync(recordFile, `trouble: ${hasTrouble ? "yes" : "no"}\n`);
    let code = exitCodes.notRun;
    const finish = async () => {
        await runCleanup().catch(() => {});
        process.exit(code);
    };
    const giveUp = reason => {
        record(`the case was ended: ${reason}`);
        code = exitCodes.notRun;
        void finish();
    };
    setTimeout(() => giveUp("it ran too long"), maxRunMs).unref();
    ["SIGTERM", "SIGINT"].forEach(name => process.once(name, () => giveUp(name)));
    ["uncaughtException", "unhandledRejection"].forEach(name =>
        process.once(name, error => giveUp(String(error?.stack ?? error)))
    );
    try {
        code = (await body()) ? exitCodes.held : exitCodes.broken;
    }
    catch (error) {
        record("the case could not run:", String(error?.stack ?? error));
    }
    const outcome = { 0: "the rule held", 1: "the rule was broken", 2: "the case could not run" }[code];
    record(`outcome: ${outcome}`);
    process.stdout.write(`${outcome}\n`);
    await finish();
};

/** Starts a stand-in of this folder as a process of its own, which sends messages. */
export const startChild = file => {
    const child = fork(join(dirname(fileURLToPath(import.meta.url)), file), { stdio: "ignore" });
    children.add(child);
    child.on("exit", () => children.delete(child));
    return child;
};

/** Starts the platform's store and cloud API. */
export const startPlatform = async () => {
    const { StoreStandIn } = require(join(root, "dist/standins/platform/StoreStandIn.js"));
    const { FencedCloudStandIn } = require(join(root, "dist/standins/platform/FencedCloudStandIn.js"));
    const store = new StoreStandIn();
    const cloud = new FencedCloudStandIn();
    await store.server.start();
    await cloud.server.start();
    closers.push(() => store.server.stop(), () => cloud.server.stop());
    return { store, cloud };
};

const isPortFree = (host, port) =>
    new Promise(resolve => {
        const server = createTcpServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });

/** Finds a loopback address on which the fixed metrics port is free. */
export const findHost = async () => {
    for (;;) {
        const [a, b, c] = [0, 0, 0].map(() => 1 + Math.floor(Math.random() * 250));
        const host = `127.${a}.${b}.${c}`;
        if (await isPortFree(host, metricsPort)) {
            return host;
        }
    }
};

const readRunLine = () =>
    readFileSync(join(root, "deploy/system.toml"), "utf8").match(/^run = "(.*)"$/m)[1].split(" ");

/** Bounds of the deployment bhatti-logs, as its sheet gives them. */
const bounds = {
    contactMs: 3_000,
    drainMs: 2_000,
    graceS: 8,
    configMs: 2_000,
    revokeMs: 5_000,
    leaseMs: 3_000,
    ttl_max_s: 5,
    retryBudgetRatio: 0.2,
    budgetWindowS: 10,
    budgetExtra: 56,
    quotaWindowS: 8,
    usageWindowS: 5,
    usageLateS: 10,
};

/** A process of the product. */
class Node {
    constructor({ name, host, platform, zone = "zone-a" }) {
        this.name = name;
        this.host = host;
        this.front = `${host}:8221`;
        this.ready = `${host}:8224`;
        this.directory = `${host}:8220`;
        this.settings = {
            node: name,
            ip: host,
            zone,
            listen: { front: this.front, ready: this.ready, directory: this.directory },
            portRange: [7600, 7615],
            platform: { address: platform.store.address },
            cloudApi: { address: platform.cloud.address },
            bounds,
        };
        this.exits = [];
        this.log = "";
    }

    /** Starts the process with the command of the deploy file. */
    start() {
        if (isEnding) {
            return;
        }
        const file = join(folder, `${this.name}.json`);
        writeFileSync(file, JSON.stringify(this.settings));
        const [program, ...words] = readRunLine();
        const { PATH, HOME } = process.env;
        const env = { PATH, HOME, SEQUOIAGRADE_NODE_FILE: file };
        const child = spawn(program, words, { cwd: root, env, stdio: ["ignore", "pipe", "pipe"] });
        children.add(child);
        this.child = child;
        child.stdout.on("data", data => {
            this.log += data;
        });
        child.stderr.on("data", data => {
            this.log += data;
        });
        child.on("exit", (code, signal) => {
            children.delete(child);
            this.exits.push({ code, signal });
            record(`process of ${this.name} ended with code ${code}, signal ${signal}`);
        });
        record(`started ${this.name} at ${this.front}`);
    }

    async waitUntilReady(timeoutMs = 20_000) {
        await waitUntil(`${this.name} is ready`, () => this.isReady(), timeoutMs);
        record(`${this.name} is ready`);
    }

    isReady() {
        return new Promise(resolve => {
            const [host, port] = this.ready.split(":");
            const asked = httpRequest(
                { host, port, path: "/api/ready", agent: false, timeout: 1_000 },
                answer => {
                    answer.resume();
                    resolve(answer.statusCode === 200);
                },
            );
            asked.on("timeout", () => asked.destroy());
            asked.on("error", () => resolve(false));
            asked.end();
        });
    }

    signal(name) {
        record(`sent ${name} to ${this.name}`);
        this.child.kill(name);
    }
}

/** Creates a node with a loopback address of its own. */
export const createNode = async (name, platform, options = {}) =>
    new Node({ name, host: await findHost(), platform, ...options });

const route = (name, prefix, fields) => ({
    name,
    host: "host.example",
    prefix,
    timeoutMs: 15_000,
    targetLatencyMs: 600,
    priority: 1,
    ...fields,
});

/** Configuration with an unsafe, a safe and two streaming routes, as on the deployments' sheets. */
export const createConfiguration = (version, changes = {}) => ({
    version,
    routes: [
        route("diagnosis", "/diagnosis/", {
            kind: "streaming",
            service: "llm",
            maxAttempts: 2,
            streamResume: true,
            gapAimMs: 400,
            stickySessions: true,
        }),
        route("summary", "/summary/", {
            kind: "streaming",
            service: "llm",
            maxAttempts: 1,
            gapAimMs: 400,
            stickySessions: true,
        }),
        route("release", "/release/", { kind: "unsafe", service: "app", maxAttempts: 1 }),
        route("lookup", "/lookup/", { kind: "safe", service: "app", maxAttempts: 2 }),
    ],
    services: [
        {
            name: "llm",
            healthPath: "/health",
            maxConnections: 500,
            engine: { slots: 96, kvCapacityTokens: 1_102_398 },
        },
        { name: "app", healthPath: "/health", maxConnections: 110 },
    ],
    limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 4_194_304,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
    },
    tenants: [{ name: "alpha", apiKeys: ["key-alpha"], priority: 1 }],
    ...changes,
});

/** Stand-in for a runner. It runs each request with a handler of the case. */
export class Runner {
    constructor({ id, service, handle, version = "1" }) {
        Object.assign(this, { id, service, handle, version });
        this.born = Date.now();
        this.runs = [];
        this.server = createServer((request, response) => void this.serve(request, response));
        this.server.keepAliveTimeout = 60_000;
        this.server.on("clientError", (_error, socket) => socket.destroy());
    }

    async start({ port = 0, backlog = 511 } = {}) {
        await new Promise(resolve => this.server.listen({ port, host: "127.0.0.1", backlog }, resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
        closers.push(() => this.stop());
    }

    async stop() {
        this.server.closeAllConnections();
        await new Promise(resolve => this.server.close(resolve));
    }

    get entry() {
        const { service, address, version, born } = this;
        const slots = service === "llm" ? 96 : 6;
        return {
            service,
            address,
            zone: "zone-a",
            version,
            slots,
            state: "ready",
            coldRemainingMs: 0,
            seq: 1,
            born,
        };
    }

    register(store) {
        store.put("servers", this.id, this.entry);
        record(`runner ${this.id} of ${this.service} is listed at ${this.address}`);
    }

    async serve(request, response) {
        response.on("error", () => {});
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        const attempt = request.headers["x-sequoiagrade-attempt-id"];
        const headers = {
            "x-sequoiagrade-attempt-id": attempt,
            "x-sequoiagrade-response-stamp": `stamp-${this.id}`,
        };
        if (request.headers["x-sequoiagrade-expect-instance"] !== this.id) {
            response.writeHead(421, { ...headers, "x-sequoiagrade-not-executed": "1" }).end();
            return;
        }
        this.runs.push({ attempt, url: request.url });
        record(`runner ${this.id} runs ${attempt}`);
        await this.handle({ request, response, headers, attempt, body: Buffer.concat(chunks) });
    }
}

let attempts = 0;

/**
 * Sends one request to a node.
 *
 * @returns what the client saw; `isWhole` tells whether the answer came to its end in the protocol
 */
export const send = (node, { path, method = "POST", body = "{}", agent = false, attempt, headers = {} }) => {
    attempts += 1;
    const id = attempt ?? `attempt-${attempts}`;
    const [host, port] = node.front.split(":");
    const sent = {
        "host": "host.example",
        "x-sequoiagrade-attempt-id": id,
        "x-sequoiagrade-deadline-ms": "15000",
        "x-sequoiagrade-credential": "key-alpha",
        "content-length": Buffer.byteLength(body),
        ...headers,
    };
    record(`client sends ${id}: ${method} ${path} to ${node.name}`);
    return new Promise(resolve => {
        const finish = outcome => {
            record(`client got for ${id}:`, { ...outcome, body: outcome.body?.slice(-80) });
            resolve({ attempt: id, ...outcome });
        };
        const asked = httpRequest({ host, port, method, path, agent, headers: sent }, answer => {
            let text = "";
            answer.on("data", data => {
                text += data;
            });
            answer.on("error", () => {});
            answer.on("close", () =>
                finish({
                    status: answer.statusCode,
                    isWhole: answer.complete,
                    stamp: answer.headers["x-sequoiagrade-response-stamp"],
                    retryAfter: answer.headers["retry-after"],
                    body: text,
                }));
        });
        asked.on("error", error => finish({ error: error.code ?? error.message }));
        asked.end(body);
    });
};

/** Creates an agent that keeps one connection open, as clients do. */
export const createKeptConnection = () => new Agent({ keepAlive: true, maxSockets: 1 });
