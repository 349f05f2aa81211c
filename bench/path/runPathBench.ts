import { formatTable } from "../../src/cli/formatTable";
import { type FirstByteFigures, measureFirstByte } from "./measureFirstByte";
import { type IdleStreamFigures, measureIdleStreams } from "./measureIdleStreams";
import { measureShortCalls, measureTokenEvents, type ThroughputFigures } from "./measureThroughput";

/** All figures of the path bench. */
export interface PathFigures {
    readonly seed: number;
    readonly firstByte: FirstByteFigures;
    readonly tokenEvents: ThroughputFigures;
    readonly shortCalls: ThroughputFigures;
    readonly idleStreams: IdleStreamFigures;
}

const aims = {
    addedP50Ms: 1,
    addedP99Ms: 5,
    tokenEventsPerSecond: 50_000,
    shortCallsPerSecond: 3_000,
} as const;

/**
 * Runs the path bench, which measures the overhead of one node over requests straight to the stand-ins.
 *
 * @param seed - seed of the arrivals; also part of the prompts
 */
export const runPathBench = async (seed: number): Promise<PathFigures> => ({
    seed,
    firstByte: await measureFirstByte(seed),
    tokenEvents: await measureTokenEvents(seed),
    shortCalls: await measureShortCalls(),
    idleStreams: await measureIdleStreams(),
});

/**
 * Formats the figures and their aims as a table.
 *
 * @param figures - figures of one run
 */
export const formatPathFigures = (figures: PathFigures): string => {
    const { firstByte, tokenEvents, shortCalls, idleStreams } = figures;
    return formatTable(["figure", "direct", "routed", "difference", "aim", ""], [
        createFirstByteRow(firstByte, "p50", aims.addedP50Ms),
        createFirstByteRow(firstByte, "p99", aims.addedP99Ms),
        createRateRow("token events a second", tokenEvents, aims.tokenEventsPerSecond),
        createRateRow("short calls a second", shortCalls, aims.shortCallsPerSecond),
        ["memory per idle stream (bytes)", "-", Math.round(idleStreams.bytesPerStream), "-", "-", ""],
    ]);
};

const createFirstByteRow = (figures: FirstByteFigures, quantile: "p50" | "p99", aimMs: number): string[] => [
    `first byte at 200 streams, ${quantile} (ms)`,
    figures.direct[quantile].toFixed(2),
    figures.routed[quantile].toFixed(2),
    figures.added[quantile].toFixed(2),
    `at most ${aimMs} added`,
    formatVerdict(figures.added[quantile] <= aimMs),
];

const createRateRow = (name: string, figures: ThroughputFigures, aim: number): (string | number)[] => [
    name,
    Math.round(figures.directPerSecond),
    Math.round(figures.routedPerSecond),
    `ratio ${figures.ratio.toFixed(2)}, ${figures.nodeMicroseconds.toFixed(2)} us of CPU each`,
    `at least ${aim}`,
    formatVerdict(figures.routedPerSecond >= aim),
];

const formatVerdict = (isMet: boolean): string => isMet ? "met" : "NOT MET";
