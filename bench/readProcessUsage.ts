import { readFileSync } from "node:fs";

/** CPU time and memory of a process. */
export interface ProcessUsage {
    /** CPU time used since the process started, in milliseconds. */
    readonly cpuMs: number;
    /** Resident memory, in bytes. */
    readonly residentBytes: number;
}

const msPerTick = 10; // Linux counts CPU time in 100 ticks per second
const bytesPerPage = 4_096;
const userTicksField = 11; // utime in /proc/PID/stat, counted from the field after the command name
const systemTicksField = 12; // stime

/**
 * Reads a process's CPU time and memory from `/proc`.
 *
 * @param pid - process identifier
 */
export const readProcessUsage = (pid: number): ProcessUsage => {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[userTicksField]) + Number(fields[systemTicksField]);
    const pages = Number(readFileSync(`/proc/${pid}/statm`, "utf8").split(" ")[1]);
    return { cpuMs: ticks * msPerTick, residentBytes: pages * bytesPerPage };
};
