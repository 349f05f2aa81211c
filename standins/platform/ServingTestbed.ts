import { request as httpRequest } from "node:http";
import { createServingPlatform } from "../../platform/createServingPlatform";
import { DiscoveryServer } from "../../platform/DiscoveryServer";
import { ServingNode } from "../../src/daemon/ServingNode";
import { SystemClock } from "../../src/kernel/SystemClock";
import type { Clock } from "../../src/kernel/types";
import { SystemRandom } from "../../src/kernel/SystemRandom";
import { servingSettingsSchema } from "../../src/settings/servingSettingsSchema";
import { FencedCloudStandIn } from "./FencedCloudStandIn";
import { findFreeAddresses } from "./findFreeAddresses";
import { PartitionGate } from "./PartitionGate";
import { RawRunner, type WriteRawAnswer } from "../RawRunner";
import { type CrashCause, RunnerStandIn, type RunnerStandInOptions } from "./RunnerStandIn";
import { pause } from "../pause";
import { StoreStandIn } from "./StoreStandIn";

/** A running node with the `host:port` addresses of its interfaces. */
export interface TestNode {
    readonly node: ServingNode;
    readonly discoveryServer: DiscoveryServer;
    readonly callersAddress: string;
    readonly readyAddress: string;
    readonly directoryAddress: string;
    readonly metricsAddress: string;
}

/** A request to send to a node. */
export interface TestCall {
    readonly path: string;
    readonly method?: string;
    readonly requestId?: string;
    readonly key?: string;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** Closes the connection once this many bytes of the body have been received. */
    readonly disconnectAfterBytes?: number;
}

/** Options of {@link ServingTestbed.callRepeatedly}. */
export interface RepeatedCallOptions {
    /** Time for which requests are sent, in milliseconds. */
    readonly durationMs: number;
    /** Time between two requests, in milliseconds. */
    readonly intervalMs: number;
}

/** The response that a caller received. */
export interface TestResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: string;
    /** Whether the body was received completely. */
    readonly isWhole: boolean;
}

/**
 * Creates the operator's configuration with the services `app` and `llm`. Its routes cover each retry rule: unsafe
 * (`/plain/`), safe (`/read/`), streaming with resumption (`/stream/`) and streaming without it (`/strict/`); two more
 * have no authentication (`/plain/open/`) and a short time-out (`/short/`).
 *
 * @param version - version number of the configuration
 * @returns the configuration as stored
 */
export const createTestConfiguration = (version: number): Record<string, unknown> => ({
    version,
    routes: [
        createRoute("r-once", "/plain/", { kind: "unsafe", service: "app", maxAttempts: 3 }),
        createRoute("r-read", "/read/", { kind: "safe", service: "app", maxAttempts: 2 }),
        createRoute("r-stream", "/stream/", {
            kind: "streaming",
            service: "llm",
            maxAttempts: 2,
            streamResume: true,
        }),
        createRoute("r-strict", "/strict/", { kind: "streaming", service: "llm", maxAttempts: 2 }),
        createRoute("r-open", "/plain/open/", { kind: "safe", service: "app", authExempt: true }),
        createRoute("r-short", "/short/", { kind: "safe", service: "app", timeoutMs: 300 }),
    ],
    services: [
        { name: "app", maxConnections: 50 },
        {
            name: "llm",
            maxConnections: 50,
            engine: { slots: 8, kvCapacityTokens: 100_000 },
            scaling: { min: 1, max: 4, bootS: 1, zonePrices: { "zone-a": 1, "zone-b": 0.8 } },
        },
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants: [
        { name: "alpha", apiKeys: ["key-alpha"], priority: 1 },
        { name: "small", apiKeys: ["key-small"], unit: "requests", ratePerS: 0.01, burst: 3 },
    ],
});

const createRoute = (
    name: string,
    prefix: string,
    fields: Record<string, unknown>,
): Record<string, unknown> => ({
    name,
    host: "host.example",
    prefix,
    timeoutMs: 5_000,
    targetLatencyMs: 200,
    ...fields,
});

const restartMs = 400;
const crashingRunnerEvents = 6;
const conditionPollMs = 10;
const conditionTimeoutMs = 15_000;

/** Nodes and the platform's stand-ins in one process. */
export class ServingTestbed {
    readonly store = new StoreStandIn();
    readonly cloud = new FencedCloudStandIn();
    readonly nodes: TestNode[] = [];
    readonly runners: RunnerStandIn[] = [];
    private readonly rawRunners: RawRunner[] = [];
    /** Rows that nodes reported as unreadable, as `NODE TABLE KEY`, once for each report. */
    readonly unreadableRows: string[] = [];
    /** Last registry entry of each upstream, by its id. */
    private readonly registered = new Map<string, Record<string, unknown>>();
    /** Monotonic times at which upstreams crashed, in milliseconds. */
    readonly crashedAtMs: number[] = [];
    private readonly restarts: Promise<void>[] = [];
    private readonly gates: PartitionGate[] = [];
    private isStopping = false;
    private requestCount = 0;

    /** Starts the store and the cloud, and writes version 1 of the configuration. */
    async start(): Promise<void> {
        await this.store.server.start();
        await this.cloud.server.start();
        this.store.put("op", "config", createTestConfiguration(1));
    }

    async stop(): Promise<void> {
        this.isStopping = true;
        await Promise.all(this.restarts);
        await Promise.all(this.nodes.map(async ({ node, discoveryServer }) => {
            await discoveryServer.stop();
            await node.kernel.stop();
        }));
        await Promise.all(this.gates.map(gate => gate.stop()));
        await Promise.all([...this.runners, ...this.rawRunners].map(runner => runner.server.stop()));
        await this.cloud.server.stop();
        await this.store.server.stop();
    }

    /** Starts an upstream and registers it in the store. */
    async addRunner(service: string, options: RunnerStandInOptions): Promise<RunnerStandIn> {
        const runner = new RunnerStandIn(options);
        await runner.server.start();
        this.runners.push(runner);
        this.registerRunner(runner, service);
        return runner;
    }

    /** Starts an upstream whose answers are written by the given function, and registers it in the store. */
    async addRawRunner(service: string, id: string, writeAnswer: WriteRawAnswer): Promise<RawRunner> {
        const runner = new RawRunner(id, writeAnswer);
        await runner.server.start();
        this.rawRunners.push(runner);
        this.registerRunner(runner, service);
        return runner;
    }

    /**
     * Starts upstreams that crash when they begin an answer to certain requests, and that start again as others a moment
     * later.
     */
    async addCrashingRunners(service: string, cause: CrashCause, count: number): Promise<void> {
        for (let index = 0; index < count; index += 1) {
            await this.addCrashingRunner(service, cause, index % 2 === 0);
        }
    }

    private async addCrashingRunner(
        service: string,
        cause: CrashCause,
        sendsHead: boolean,
    ): Promise<RunnerStandIn> {
        const runner = await this.addRunner(service, {
            id: `${service}-${this.runners.length + 1}`,
            events: service === "llm" ? crashingRunnerEvents : 0,
        });
        runner.crashCause = cause;
        runner.sendsHeadBeforeCrash = sendsHead;
        runner.onCrash = () => {
            runner.onCrash = () => {};
            this.crashedAtMs.push(performance.now());
            this.restarts.push(this.replaceCrashed(runner, service));
        };
        return runner;
    }

    private async replaceCrashed(crashed: RunnerStandIn, service: string): Promise<void> {
        await crashed.server.stop();
        await new Promise(resolve => setTimeout(resolve, restartMs));
        this.registered.delete(crashed.id);
        this.store.put("servers", crashed.id, undefined);
        if (!this.isStopping) {
            const { places, workMs, brittle, crashCause, sendsHeadBeforeCrash } = crashed;
            const next = await this.addCrashingRunner(service, crashCause, sendsHeadBeforeCrash);
            Object.assign(next, { places, workMs, brittle });
        }
    }

    /** Writes the registry entry of an upstream to the store. */
    registerRunner(
        runner: Pick<RunnerStandIn, "id" | "address" | "softwareVersion">,
        service: string,
        state = "ready",
        born = 1,
    ): void {
        const { id, address } = runner;
        const { softwareVersion: version } = runner;
        const entry = { service, address, zone: "zone-a", version, slots: 8, state, seq: 1, born };
        this.registered.set(id, entry);
        this.store.put("servers", id, entry);
    }

    /** Writes all registry entries again, as upstreams do after the store has lost them. */
    registerAgain(): void {
        this.registered.forEach((entry, id) => this.store.put("servers", id, entry));
    }

    /** Starts a node that can be cut off from all upstreams, and waits until it is ready. */
    async addGatedNode(
        settings: Record<string, unknown> = {},
    ): Promise<{ readonly gate: PartitionGate; readonly node: TestNode; }> {
        const gate = new PartitionGate();
        await gate.start();
        this.gates.push(gate);
        return { gate, node: await this.addNode(settings, gate) };
    }

    /** Starts a node and waits until it is ready. */
    async addNode(
        settings: Record<string, unknown> = {},
        gate?: PartitionGate,
        clock: Clock = new SystemClock(),
    ): Promise<TestNode> {
        const [callersAddress, peers, metricsAddress, readyAddress, directoryAddress] =
            await findFreeAddresses(5);
        const nodeSettings = servingSettingsSchema.parse({
            nodeId: `node-${this.nodes.length + 1}`,
            dataCentre: "zone-a",
            callers: callersAddress,
            peers,
            metrics: metricsAddress,
            store: this.store.address,
            cloud: this.cloud.address,
            logLevel: "silent",
            usage: { windowMs: 1_000, dueMs: 5_000 },
            leaseMs: 2_000,
            ...settings,
        });
        const random = new SystemRandom();
        const platform = createServingPlatform({
            settings: nodeSettings,
            onUnreadableRow: (table, key) =>
                this.unreadableRows.push(`${nodeSettings.nodeId} ${table} ${key}`),
        });
        const node = new ServingNode({
            settings: nodeSettings,
            platform,
            clock,
            random,
            connectUpstream: gate?.connect,
        });
        let isStarted = false;
        const discoveryServer = new DiscoveryServer({
            readyAddress,
            directoryAddress,
            readEntriesValidMs: () => nodeSettings.entriesValidMs,
            random,
            findReadiness: () => isStarted ? node.readiness : undefined,
        });
        await discoveryServer.start();
        await node.start();
        isStarted = true;
        const added = {
            node,
            discoveryServer,
            callersAddress,
            readyAddress,
            directoryAddress,
            metricsAddress,
        };
        this.nodes.push(added);
        await this.waitUntil(() => node.readiness.isReady());
        return added;
    }

    /**
     * Waits until a condition holds.
     *
     * @throws Error when the condition does not hold within 15 s
     */
    async waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
        const deadlineMs = performance.now() + conditionTimeoutMs;
        while (!(await condition())) {
            if (performance.now() > deadlineMs) {
                throw new Error("timed out after 15 s waiting for a condition");
            }
            await new Promise(resolve => setTimeout(resolve, conditionPollMs));
        }
    }

    /**
     * Sends requests to nodes in turn, at regular intervals for a time, whether or not earlier ones are answered.
     *
     * @returns all responses, in the order of their requests
     */
    async callRepeatedly(
        targets: readonly Pick<TestNode, "callersAddress">[],
        call: TestCall,
        { durationMs, intervalMs }: RepeatedCallOptions,
    ): Promise<TestResponse[]> {
        const responses: Promise<TestResponse>[] = [];
        const endMs = performance.now() + durationMs;
        for (let index = 0; performance.now() < endMs; index += 1) {
            responses.push(this.call(targets[index % targets.length], call));
            await pause(intervalMs);
        }
        return Promise.all(responses);
    }

    /** Sends a request to a node on a new connection and resolves once the response is closed. */
    call(target: Pick<TestNode, "callersAddress">, call: TestCall): Promise<TestResponse> {
        this.requestCount += 1;
        const [host, port] = target.callersAddress.split(":");
        const headers = {
            "host": "host.example",
            "connection": "close",
            "x-sequoiagrade-attempt-id": call.requestId ?? `request-${this.requestCount}`,
            "x-sequoiagrade-deadline-ms": "4000",
            "x-sequoiagrade-credential": call.key ?? "key-alpha",
            ...call.headers,
        };
        return new Promise((resolve, reject) => {
            const sent = httpRequest(
                { host, port, path: call.path, method: call.method ?? "GET", headers },
                response => {
                    let body = "";
                    response.on("data", (chunk: Buffer) => {
                        body += chunk.toString("utf8");
                        if (
                            call.disconnectAfterBytes !== undefined
                            && body.length >= call.disconnectAfterBytes
                        ) {
                            sent.destroy();
                        }
                    });
                    response.on("error", () => {});
                    response.on("close", () =>
                        resolve({
                            status: response.statusCode!,
                            headers: response.headers,
                            body,
                            isWhole: response.complete,
                        }));
                },
            );
            sent.on("error", reject);
            sent.end(call.body);
        });
    }
}

/** Sends a GET request and parses the JSON response. */
export const readJson = async (
    address: string,
    path: string,
): Promise<{ status: number; body: unknown; }> => {
    const response = await fetch(`http://${address}${path}`, { headers: { connection: "close" } });
    return { status: response.status, body: await response.json() };
};
