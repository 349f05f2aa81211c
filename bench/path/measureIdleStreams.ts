import { Pool } from "undici";
import { BenchCluster } from "../BenchCluster";
import { consumeStream } from "../consumeStream";

/** Memory of idle open streams. */
export interface IdleStreamFigures {
    /** Streams open at each size. */
    readonly sizes: readonly number[];
    /** Resident memory of the node's process at each size, in bytes. */
    readonly residentBytes: readonly number[];
    /** Slope between the smallest and the largest size, in bytes per stream. */
    readonly bytesPerStream: number;
}

const sizes: readonly number[] = [250, 500, 1_000, 2_000];
const idleStepMs = 3_600_000; // no further token during the run
const settleMs = 3_000;

/** Measures the node's memory per stream that is open and sends nothing. */
export const measureIdleStreams = async (): Promise<IdleStreamFigures> => {
    const cluster = await BenchCluster.start({
        modelRunners: [{ service: "llm", dataCentre: "dc-a" }],
        plainRunners: [{ service: "roster", dataCentre: "dc-a" }],
        engine: { slots: 10_000, stepMs: idleStepMs, prefillMsPerToken: 0, sendsFirstTokenImmediately: true },
    });
    const pool = new Pool(cluster.node.readyMessage.callers, { connections: sizes.at(-1)!, pipelining: 1 });
    const residentBytes: number[] = [];
    let open = 0;
    for (const size of sizes) {
        const opened: Promise<void>[] = [];
        for (; open < size; open += 1) {
            opened.push(openIdle(pool, open));
        }
        await Promise.all(opened);
        await new Promise(resolve => setTimeout(resolve, settleMs));
        residentBytes.push(cluster.readNodeUsage().residentBytes);
    }
    await pool.destroy();
    await cluster.stop();
    const bytesPerStream = (residentBytes.at(-1)! - residentBytes[0]) / (sizes.at(-1)! - sizes[0]);
    return { sizes, residentBytes, bytesPerStream };
};

const openIdle = (pool: Pool, index: number): Promise<void> =>
    new Promise(resolve => {
        consumeStream({ pool, prompt: `Idle ${index}.`, maxTokens: 100, onFirstByte: resolve }).catch(
            () => {},
        );
    });
