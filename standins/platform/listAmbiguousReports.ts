import type { FencedCall } from "./FencedCloudStandIn";

/**
 * Finds windows of which usage reports with different counts have arrived. An exact repeat is none.
 *
 * @param calls - calls in the order of their arrival
 * @returns one line for each window
 */
export const listAmbiguousReports = (calls: readonly FencedCall[]): string[] => {
    const windows = new Map<number, Map<string, string>>();
    for (const { atMs, holder, path, body } of calls) {
        if (path === "/usage") {
            const window = Number(body.windowId);
            const reports = windows.get(window) ?? new Map<string, string>();
            const counts = formatCounts(body.counts);
            reports.set(counts, reports.get(counts) ?? `${holder} at ${Math.round(atMs)} ms`);
            windows.set(window, reports);
        }
    }
    return [...windows].filter(([, reports]) => reports.size > 1).map(([window, reports]) =>
        `window ${window}: ${[...reports].map(([counts, sender]) => `${counts} of ${sender}`).join(", ")}`
    );
};

const formatCounts = (counts: unknown): string =>
    JSON.stringify(Object.entries(counts as Record<string, number>).sort());
