import { readFileSync } from "node:fs";

const kibPerMb = 1_024;

/**
 * Reads the memory that a process has in use.
 *
 * @param pid - id of the process
 * @returns MiB
 */
export const readResidentMb = (pid: number): number => {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/VmRSS:\s+(\d+) kB/.exec(status)![1]) / kibPerMb;
};
