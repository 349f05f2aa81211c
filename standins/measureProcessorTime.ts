const microsecondsPerMs = 1_000;

/**
 * Measures the processor time that this process uses for a synchronous function. Unlike the time of day, it does not count
 * the time for which other processes have the processor.
 *
 * @param run - the function
 * @returns processor time of all threads, in milliseconds
 */
export const measureProcessorTime = (run: () => void): number => {
    const before = process.cpuUsage();
    run();
    const { user, system } = process.cpuUsage(before);
    return (user + system) / microsecondsPerMs;
};
