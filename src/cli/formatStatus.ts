import type { ClusterStatus, RunnerStatus } from "../operators/types";
import { formatTable } from "./formatTable";

/**
 * Formats the status of the cluster as text.
 *
 * @param status - the node's answer
 * @returns the configuration revision, a table of members, a table of runners, and the unreachable members
 */
export const formatStatus = (status: ClusterStatus): string => {
    const members = formatTable(
        ["member", "data centre", "state", "revision", "current", "links", "broken invariants"],
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

/** Merges what the nodes report: one status per runner, from the node that reports the highest load, sorted by id. */
const mergeRunners = (status: ClusterStatus): RunnerStatus[] => {
    const merged = new Map<string, RunnerStatus>();
    for (const runner of status.nodes.flatMap(node => node.runners)) {
        const existing = merged.get(runner.id);
        merged.set(runner.id, existing && existing.load > runner.load ? existing : runner);
    }
    return [...merged.values()].sort((a, b) => a.id < b.id ? -1 : 1);
};
