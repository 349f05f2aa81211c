import { Pool } from "undici";
import { BenchCluster } from "../BenchCluster";
import { benchAccount } from "../benchCredentials";
import { consumeStream } from "../consumeStream";

/** Rates, straight and through one node. */
export interface ThroughputFigures {
    readonly directPerSecond: number;
    readonly routedPerSecond: number;
    /** Routed by direct. */
    readonly ratio: number;
    /** Processor time of the node's process per unit, in microseconds. */
    readonly nodeMicroseconds: number;
}

interface Total {
    units: number;
    ms: number;
}

const streamConcurrency = 64;
const tokensPerStream = 2_000;
const streamsPerRound = 256;
const callConcurrency = 64;
const callsPerRound = 20_000;
const rounds = 2;
const msPerSecond = 1_000;

/**
 * Measures token events per second with engines that send without pause.
 *
 * @param seed - varies the prompts
 */
export const measureTokenEvents = async (seed: number): Promise<ThroughputFigures> => {
    const cluster = await BenchCluster.start({
        modelRunners: [{ service: "llm", dataCentre: "dc-a" }],
        plainRunners: [{ service: "roster", dataCentre: "dc-a" }],
        engine: { slots: 1_000, stepMs: 0, prefillMsPerToken: 0 },
    });
    const run = (pool: Pool, round: number): Promise<number> => runStreams(pool, `${seed}-${round}`);
    const figures = await measureBoth(
        cluster,
        cluster.standIns.readyMessage.engines[0],
        streamConcurrency,
        run,
    );
    await cluster.stop();
    return figures;
};

/** Measures short calls to a plain service per second. */
export const measureShortCalls = async (): Promise<ThroughputFigures> => {
    const cluster = await BenchCluster.start({
        modelRunners: [],
        plainRunners: [{ service: "roster", dataCentre: "dc-a" }],
    });
    const run = (pool: Pool, _round: number, isDirect: boolean): Promise<number> =>
        runCalls(pool, isDirect ? "/status" : "/v1/services/roster/status");
    const figures = await measureBoth(cluster, cluster.standIns.readyMessage.plains[0], callConcurrency, run);
    await cluster.stop();
    return figures;
};

const measureBoth = async (
    cluster: BenchCluster,
    directUrl: string,
    connections: number,
    run: (pool: Pool, round: number, isDirect: boolean) => Promise<number>,
): Promise<ThroughputFigures> => {
    const directPool = new Pool(directUrl, { connections, pipelining: 1 });
    const routedPool = new Pool(cluster.node.readyMessage.callers, { connections, pipelining: 1 });
    await run(directPool, -1, true);
    await run(routedPool, -1, false);
    const direct: Total = { units: 0, ms: 0 };
    const routed: Total = { units: 0, ms: 0 };
    let nodeCpuMs = 0;
    for (let round = 0; round < rounds; round += 1) {
        await addRound(direct, () => run(directPool, round, true));
        const before = cluster.readNodeUsage().cpuMs;
        await addRound(routed, () => run(routedPool, round, false));
        nodeCpuMs += cluster.readNodeUsage().cpuMs - before;
    }
    await Promise.all([directPool.destroy(), routedPool.destroy()]);
    const directPerSecond = direct.units / direct.ms * msPerSecond;
    const routedPerSecond = routed.units / routed.ms * msPerSecond;
    return {
        directPerSecond,
        routedPerSecond,
        ratio: routedPerSecond / directPerSecond,
        nodeMicroseconds: nodeCpuMs * msPerSecond / routed.units,
    };
};

const addRound = async (total: Total, run: () => Promise<number>): Promise<void> => {
    const startedMs = performance.now();
    total.units += await run();
    total.ms += performance.now() - startedMs;
};

const runStreams = async (pool: Pool, name: string): Promise<number> => {
    let next = 0;
    let events = 0;
    const work = async (): Promise<void> => {
        while (next < streamsPerRound) {
            next += 1;
            const result = await consumeStream({
                pool,
                prompt: `Plan ${name}-${next}.`,
                maxTokens: tokensPerStream,
            });
            events += result.events;
        }
    };
    await Promise.all(Array.from({ length: streamConcurrency }, work));
    return events;
};

const runCalls = async (pool: Pool, path: string): Promise<number> => {
    let next = 0;
    let answered = 0;
    const headers = { authorization: `Bearer ${benchAccount.key}` };
    const work = async (): Promise<void> => {
        while (next < callsPerRound) {
            next += 1;
            const answer = await pool.request({ method: "GET", path, headers });
            await answer.body.dump();
            answered += answer.statusCode === 200 ? 1 : 0;
        }
    };
    await Promise.all(Array.from({ length: callConcurrency }, work));
    return answered;
};
