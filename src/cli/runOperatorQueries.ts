import type { ClusterReport, ClusterStatus } from "../operators/types";
import type { EventRecord } from "../telemetry/types";
import { exitCodes } from "./exitCodes";
import { formatReport } from "./formatReport";
import { formatStatus } from "./formatStatus";
import { formatTimeline } from "./formatTimeline";
import { OperatorClient } from "./OperatorClient";
import type { CliOutput, OperatorCommandOptions } from "./types";

/** Options of the command `timeline`. */
export interface TimelineOptions extends OperatorCommandOptions {
    /** Id of the request whose events are shown. */
    readonly request?: string;
    /** Id of the configuration change whose events are shown. */
    readonly change?: string;
    /** Earliest wall-clock time, in milliseconds since the epoch. */
    readonly since?: number;
    /** Latest wall-clock time, in milliseconds since the epoch. */
    readonly until?: number;
}

/**
 * Runs `sequoiagrade status`.
 *
 * @returns the exit code
 */
export const runStatus = async (options: OperatorCommandOptions, output: CliOutput): Promise<number> => {
    const status = await new OperatorClient(options).get("status") as ClusterStatus;
    output.print(options.json ? JSON.stringify(status) : formatStatus(status));
    return exitCodes.ok;
};

/**
 * Runs `sequoiagrade report`.
 *
 * @returns the exit code
 */
export const runReport = async (options: OperatorCommandOptions, output: CliOutput): Promise<number> => {
    const report = await new OperatorClient(options).get("report") as ClusterReport;
    output.print(options.json ? JSON.stringify(report) : formatReport(report));
    return exitCodes.ok;
};

/**
 * Runs `sequoiagrade timeline`.
 *
 * @returns the exit code
 */
export const runTimeline = async (options: TimelineOptions, output: CliOutput): Promise<number> => {
    const query = new URLSearchParams();
    for (const name of ["request", "change", "since", "until"] as const) {
        if (options[name] !== undefined) {
            query.set(name, String(options[name]));
        }
    }
    const answer = await new OperatorClient(options).get(`timeline?${query.toString()}`) as {
        events: EventRecord[];
        unreachable: string[];
    };
    output.print(options.json ? JSON.stringify(answer) : formatTimeline(answer.events));
    if (answer.unreachable.length > 0 && !options.json) {
        output.printError(`not reachable: ${answer.unreachable.join(", ")}`);
    }
    return exitCodes.ok;
};
