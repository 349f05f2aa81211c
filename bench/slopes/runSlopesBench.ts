import { formatTable } from "../../src/cli/formatTable";
import { measureHandOver } from "./measureHandOver";
import { measurePeers } from "./measurePeers";
import { measureSendRecords } from "./measureSendRecords";
import { measureRouting } from "./measureRouting";
import { measureNodeState } from "./measureNodeState";
import { measurePolling } from "./measurePolling";
import type { LinearFit } from "./types";

/** Runs the slopes bench, which measures the cost per unit of load that docs/CAPACITY.md is derived from. */
export const runSlopesBench = async (): Promise<LinearFit[]> => [
    ...measureRouting(),
    ...measureNodeState(),
    ...measureHandOver(),
    ...await measureSendRecords(),
    ...await measurePolling(),
    ...await measurePeers(),
];

/**
 * Formats the fitted lines with their points as a table.
 *
 * @param lines - lines of one run
 */
export const formatSlopes = (lines: readonly LinearFit[]): string =>
    formatTable(
        ["figure", "per", "points (size: value)", "slope", "intercept", "fit", "spread"],
        lines.map(line => [
            line.figure,
            line.per,
            line.points.map(point => `${point.size}: ${formatNumber(point.value)}`).join(", "),
            formatNumber(line.slope),
            formatNumber(line.intercept),
            line.fit.toFixed(3),
            `${(line.spread * 100).toFixed(0)} %`,
        ]),
    );

const formatNumber = (value: number): string =>
    Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
