import { closeSync, openSync } from "node:fs";
import loglevel from "loglevel";
import { SystemClock } from "../../src/kernel/SystemClock";
import { EventLog } from "../../src/telemetry/EventLog";
import { eventKinds } from "../../src/telemetry/eventKinds";
import { LogWriter } from "../../src/telemetry/LogWriter";

/** Cost of one log line of a forwarded request. */
export interface LogFigures {
    readonly lines: number;
    readonly bytesPerLine: number;
    readonly cpuMicrosPerLine: number;
}

const rounds = 200;
const linesPerRound = 100; // lines written together, as at 500 lines per second
const microsPerSecond = 1_000_000;
const linesPerS = 23; // rate of a node on days of high load, see docs/design/platform.md

const requestFields = {
    requestId: "0d9b65c273d267ec",
    route: "r-mfqbgz3",
    account: "huno850",
    quotaCost: 12_400,
    quotaLeft: 235_398,
    service: "sefi69a",
    version: 2,
    versionAgeMs: 802,
    sends: 1,
    runs: 1,
    upstream: "i-38c5d26d30",
    upstreamLoad: 15,
    firstByteMs: 237,
    status: 200,
    outcome: "answered",
    wholeMs: 3_524,
};

/**
 * Measures the CPU time per log line of a forwarded request, from emitting the event to writing the line.
 *
 * @returns figures of this run
 */
export const runLogBench = async (): Promise<LogFigures> => {
    const descriptor = openSync("/dev/null", "w");
    const logger = loglevel.getLogger("bench-log");
    const writer = new LogWriter({ descriptor, maxLinesPerS: Infinity });
    let bytes = 0;
    logger.methodFactory = () => (line: string) => {
        bytes += line.length + 1;
        writer.write(line);
    };
    logger.setLevel("info", false);
    const events = new EventLog({ node: "edge-a-1", clock: new SystemClock(), logger, maxRetainedEvents: 0 });
    const startUsage = process.cpuUsage();
    for (let round = 0; round < rounds; round += 1) {
        for (let line = 0; line < linesPerRound; line += 1) {
            events.emit(eventKinds.requestForwarded, requestFields);
        }
        await writer.flush();
    }
    const usage = process.cpuUsage(startUsage);
    closeSync(descriptor);
    const lines = rounds * linesPerRound;
    return {
        lines,
        bytesPerLine: bytes / lines,
        cpuMicrosPerLine: (usage.user + usage.system) / lines,
    };
};

/** Formats the figures of {@link runLogBench}. */
export const formatLogFigures = (figures: LogFigures): string => {
    const share = figures.cpuMicrosPerLine * linesPerS / microsPerSecond;
    return [
        `${figures.lines} lines of ${Math.round(figures.bytesPerLine)} bytes`,
        `${figures.cpuMicrosPerLine.toFixed(1)} us of CPU time per line`,
        `${(share * 100).toFixed(3)} % of a core at ${linesPerS} lines per second`,
    ].join("\n");
};
