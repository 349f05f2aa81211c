import type { ClusterStatus, RunnerStatus } from "../operators/types";
import { formatTable } from "./formatTable";

/**
 * Formats the cluster's status for a person.
 *
 * @param status - as the node answered it
 * @returns tables of members and runners
 */
export const formatStatus = (status: ClusterStatus): string => {
    const members = formatTable(
        ["member", "data centre", "state", "revision", "current", "links", "broken assertions"],
        status.members.map(member => {
            const node = status.nodes.find(candidate => candidate.nodeId === member.nodeId);
            return node
                ? [
                    member.nodeId,
                    member.dataCentre,
                    member.state,
                    node.revision,
                    node.current ? "yes" : "NO",
                    node.links,
                    node.brokenInvariants,
                ]
                : [member.nodeId, member.dataCentre, member.state, "-", "-", "-", "-"];
        }),
    );
    const runners = formatTable(
        ["runner", "service", "data centre", "state", "load", "slots", "share"],
        mergeRunners(status).map(runner => [
            runner.id,
            runner.service,
            runner.dataCentre,
            runner.leaving ? "leaving" : "live",
            runner.load,
            runner.slots,
            runner.share.toFixed(2),
        ]),
    );
    const unreachable = status.unreachable.length > 0
        ? `\nnot reachable: ${status.unreachable.join(", ")}`
        : "";
    return `configuration revision ${status.revision}\n\n${members}\n\n${runners}${unreachable}`;
};

/** One row per runner, with the highest load that a node sees. */
const mergeRunners = (status: ClusterStatus): RunnerStatus[] => {
    const merged = new Map<string, RunnerStatus>();
    for (const runner of status.nodes.flatMap(node => node.runners)) {
        const before = merged.get(runner.id);
        merged.set(runner.id, before && before.load > runner.load ? before : runner);
    }
    return [...merged.values()].sort((a, b) => a.id < b.id ? -1 : 1);
};
