import { formatTable } from "../../src/cli/formatTable";
import { measureHandOver } from "./measureHandOver";
import { measurePeers } from "./measurePeers";
import { measureSendRecords } from "./measureSendRecords";
import { measureRouting } from "./measureRouting";
import { measureNodeState } from "./measureNodeState";
import { measurePolling } from "./measurePolling";
import type { LinearFit } from "./types";

/** Measures every slope that docs/CAPACITY.md is worked out from. */
export const runSlopesBench = async (): Promise<LinearFit[]> => [
    ...measureRouting(),
    ...measureNodeState(),
    ...measureHandOver(),
    ...await measureSendRecords(),
    ...await measurePolling(),
    ...await measurePeers(),
];

/**
 * Formats slopes with their points.
 *
 * @param slopes - of one run
 */
export const formatSlopes = (slopes: readonly LinearFit[]): string =>
    formatTable(
        ["figure", "per", "points (size: value)", "slope", "intercept", "fit", "spread"],
        slopes.map(slope => [
            slope.figure,
            slope.per,
            slope.points.map(point => `${point.size}: ${formatNumber(point.value)}`).join(", "),
            formatNumber(slope.slope),
            formatNumber(slope.intercept),
            slope.fit.toFixed(3),
            `${(slope.spread * 100).toFixed(0)} %`,
        ]),
    );

const formatNumber = (value: number): string =>
    Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
