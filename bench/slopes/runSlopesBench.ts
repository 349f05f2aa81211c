import { formatTable } from "../../src/cli/formatTable";
import { measureHandOver } from "./measureHandOver";
import { measurePeers } from "./measurePeers";
import { measureRecords } from "./measureRecords";
import { measureRouting } from "./measureRouting";
import { measureState } from "./measureState";
import { measureUpstreams } from "./measureUpstreams";
import type { Slope } from "./types";

/** Measures every slope that docs/CAPACITY.md is worked out from. */
export const runSlopesBench = async (): Promise<Slope[]> => [
    ...measureRouting(),
    ...measureState(),
    ...measureHandOver(),
    ...await measureRecords(),
    ...await measureUpstreams(),
    ...await measurePeers(),
];

/**
 * Formats slopes with their points.
 *
 * @param slopes - of one run
 */
export const formatSlopes = (slopes: readonly Slope[]): string =>
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
