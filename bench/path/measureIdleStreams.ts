import { Pool } from "undici";
import { BenchCluster } from "../BenchCluster";
import { consumeStream } from "../consumeStream";

/** Memory of open streams that send nothing. */
export interface IdleStreamFigures {
    /** Numbers of open streams. */
    readonly sizes: readonly number[];
    /** Resident memory of the node's process at each number of streams, in bytes. */
    readonly residentBytes: readonly number[];
    /** Growth from the smallest to the largest number of streams, in bytes per stream. */
    readonly bytesPerStream: number;
}

const sizes: readonly number[] = [250, 500, 1_000, 2_000];
const idleStepMs = 3_600_000; // longer than the run; after its first token a stream sends nothing
const settleMs = 3_000; // between opening the streams and reading the memory

/** Measures the memory that the node needs per open stream that sends nothing. */
export const measureIdleStreams = async (): Promise<IdleStreamFigures> => {
    const cluster = await BenchCluster.start({
        modelRunners: [{ service: "llm", dataCentre: "dc-a" }],
        plainRunners: [{ service: "roster", dataCentre: "dc-a" }],
        engine: { slots: 10_000, stepMs: idleStepMs, prefillMsPerToken: 0, sendsFirstTokenImmediately: true },
    });
    const pool = new Pool(cluster.node.readyMessage.callers, { connections: sizes.at(-1)!, pipelining: 1 });
    const residentBytes: number[] = [];
    let openCount = 0;
    for (const size of sizes) {
        const opened: Promise<void>[] = [];
        for (; openCount < size; openCount += 1) {
            opened.push(openIdleStream(pool, openCount));
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

/** Opens a stream and resolves at its first byte. */
const openIdleStream = (pool: Pool, index: number): Promise<void> =>
    new Promise(resolve => {
        consumeStream({ pool, prompt: `Idle ${index}.`, maxTokens: 100, onFirstByte: resolve }).catch(
            () => {},
        );
    });
