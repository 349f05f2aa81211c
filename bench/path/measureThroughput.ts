import { Pool } from "undici";
import { BenchCluster } from "../BenchCluster";
import { benchAccount } from "../benchCredentials";
import { consumeStream } from "../consumeStream";

/** Rates straight to the stand-in (direct) and through one node (routed). */
export interface ThroughputFigures {
    readonly directPerSecond: number;
    readonly routedPerSecond: number;
    /** Routed rate divided by direct rate. */
    readonly ratio: number;
    /** CPU time of the node's process per token event or call, in microseconds. */
    readonly nodeMicroseconds: number;
}

interface ThroughputTotal {
    /** Token events or calls. */
    units: number;
    durationMs: number;
}

const streamConcurrency = 64;
const tokensPerStream = 2_000;
const streamsPerRound = 256;
const callConcurrency = 64;
const callsPerRound = 20_000;
const rounds = 2;
const msPerSecond = 1_000;

/**
 * Measures token events per second with an engine that sends without pause.
 *
 * @param seed - part of the prompts
 */
export const measureTokenEvents = async (seed: number): Promise<ThroughputFigures> => {
    const cluster = await BenchCluster.start({
        modelRunners: [{ service: "llm", dataCentre: "dc-a" }],
        plainRunners: [{ service: "roster", dataCentre: "dc-a" }],
        engine: { slots: 1_000, stepMs: 0, prefillMsPerToken: 0 },
    });
    const run = (pool: Pool, round: number): Promise<number> => runStreams(pool, `${seed}-${round}`);
    const figures = await compareThroughput(
        cluster,
        cluster.standIns.readyMessage.engines[0],
        streamConcurrency,
        run,
    );
    await cluster.stop();
    return figures;
};

/** Measures short calls per second to a plain service. */
export const measureShortCalls = async (): Promise<ThroughputFigures> => {
    const cluster = await BenchCluster.start({
        modelRunners: [],
        plainRunners: [{ service: "roster", dataCentre: "dc-a" }],
    });
    const run = (pool: Pool, _round: number, isDirect: boolean): Promise<number> =>
        runCalls(pool, isDirect ? "/status" : "/v1/services/roster/status");
    const figures = await compareThroughput(
        cluster,
        cluster.standIns.readyMessage.plains[0],
        callConcurrency,
        run,
    );
    await cluster.stop();
    return figures;
};

/** Runs a warm-up, then measures direct and routed rounds in alternation. */
const compareThroughput = async (
    cluster: BenchCluster,
    directUrl: string,
    connections: number,
    run: (pool: Pool, round: number, isDirect: boolean) => Promise<number>,
): Promise<ThroughputFigures> => {
    const directPool = new Pool(directUrl, { connections, pipelining: 1 });
    const routedPool = new Pool(cluster.node.readyMessage.callers, { connections, pipelining: 1 });
    await run(directPool, -1, true);
    await run(routedPool, -1, false);
    const direct: ThroughputTotal = { units: 0, durationMs: 0 };
    const routed: ThroughputTotal = { units: 0, durationMs: 0 };
    let nodeCpuMs = 0;
    for (let round = 0; round < rounds; round += 1) {
        await addRound(direct, () => run(directPool, round, true));
        const cpuBeforeMs = cluster.readNodeUsage().cpuMs;
        await addRound(routed, () => run(routedPool, round, false));
        nodeCpuMs += cluster.readNodeUsage().cpuMs - cpuBeforeMs;
    }
    await Promise.all([directPool.destroy(), routedPool.destroy()]);
    const directPerSecond = direct.units / direct.durationMs * msPerSecond;
    const routedPerSecond = routed.units / routed.durationMs * msPerSecond;
    return {
        directPerSecond,
        routedPerSecond,
        ratio: routedPerSecond / directPerSecond,
        nodeMicroseconds: nodeCpuMs * msPerSecond / routed.units,
    };
};

const addRound = async (total: ThroughputTotal, run: () => Promise<number>): Promise<void> => {
    const startedMs = performance.now();
    total.units += await run();
    total.durationMs += performance.now() - startedMs;
};

const runStreams = async (pool: Pool, promptPrefix: string): Promise<number> => {
    let startedCount = 0;
    let eventCount = 0;
    const runWorker = async (): Promise<void> => {
        while (startedCount < streamsPerRound) {
            startedCount += 1;
            const result = await consumeStream({
                pool,
                prompt: `Plan ${promptPrefix}-${startedCount}.`,
                maxTokens: tokensPerStream,
            });
            eventCount += result.eventCount;
        }
    };
    await Promise.all(Array.from({ length: streamConcurrency }, runWorker));
    return eventCount;
};

const runCalls = async (pool: Pool, path: string): Promise<number> => {
    let startedCount = 0;
    let answeredCount = 0;
    const headers = { authorization: `Bearer ${benchAccount.key}` };
    const runWorker = async (): Promise<void> => {
        while (startedCount < callsPerRound) {
            startedCount += 1;
            const response = await pool.request({ method: "GET", path, headers });
            await response.body.dump();
            answeredCount += response.statusCode === 200 ? 1 : 0;
        }
    };
    await Promise.all(Array.from({ length: callConcurrency }, runWorker));
    return answeredCount;
};
