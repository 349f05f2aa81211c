import { formatTable } from "../../src/cli/formatTable";
import { type ControlPlaneFigures, measureControlPlane } from "./measureControlPlane";

const defaultSizes: readonly number[] = [8, 18, 80];

/**
 * Runs the control bench, which measures what nodes without requests spend on being members of clusters of several
 * sizes.
 *
 * @param sizes - numbers of nodes
 */
export const runControlBench = async (
    sizes: readonly number[] = defaultSizes,
): Promise<ControlPlaneFigures[]> => {
    const figures: ControlPlaneFigures[] = [];
    for (const nodes of sizes) {
        figures.push(await measureControlPlane({ nodes }));
    }
    return figures;
};

/**
 * Formats the figures as a table.
 *
 * @param figures - figures of one run
 */
export const formatControlFigures = (figures: readonly ControlPlaneFigures[]): string =>
    formatTable(
        [
            "nodes",
            "links, most",
            "frames/s sent",
            "most",
            "bytes/s sent",
            "most",
            "store calls/s",
            "CPU ms/s",
        ],
        figures.map(row => [
            String(row.nodes),
            String(row.maxLinks),
            row.framesSent.toFixed(1),
            row.maxFramesSent.toFixed(1),
            row.bytesSent.toFixed(0),
            row.maxBytesSent.toFixed(0),
            row.storeCalls.toFixed(2),
            row.processorMs.toFixed(1),
        ]),
    );
