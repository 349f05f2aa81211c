import type { ClusterReport } from "../operators/types";
import { formatTable } from "./formatTable";

const msPerSecond = 1_000;

/**
 * Formats the report on requests as text.
 *
 * @param report - the node's answer
 * @returns a table of work classes, a table of nodes, and the unreachable members
 */
export const formatReport = (report: ClusterReport): string => {
    const classes = formatTable(
        ["work class", "in progress", "overdue", "oldest (s)"],
        report.classes.map(row => [
            row.name,
            row.inProgress,
            row.overdue > 0 ? `${row.overdue} OVERDUE` : 0,
            (row.oldestMs / msPerSecond).toFixed(1),
        ]),
    );
    const nodes = formatTable(
        ["node", "accepted", "received", "answered", "refused", "cancelled", "handed over", "in progress"],
        report.nodes.map(({ nodeId, balance }) => [
            nodeId,
            balance.accepted,
            balance.received,
            balance.answered,
            balance.refused,
            balance.cancelled,
            balance.handedOver,
            balance.inProgress,
        ]),
    );
    const unreachable = report.unreachable.length > 0
        ? `\nnot reachable: ${report.unreachable.join(", ")}`
        : "";
    return `${classes}\n\n${nodes}${unreachable}`;
};
