import type { RandomSource } from "../src/kernel/types";
import type { SoakCluster, SoakNode } from "./SoakCluster";
import { createSoakDeclaration, soakOperatorToken } from "./soakSetup";
import type { SoakTally } from "./SoakTally";

/** Options of {@link SoakOperators}. */
export interface SoakOperatorsOptions {
    readonly cluster: SoakCluster;
    readonly random: RandomSource;
    readonly tally: SoakTally;
}

interface ApplyAnswer {
    readonly status: number;
    readonly revision?: number;
    readonly name?: string;
}

const callTimeoutMs = 8_000;

/** Two operators who change the same declaration at the same moment, and a watcher of revisions. */
export class SoakOperators {
    /** Change id that each revision was confirmed for. */
    private readonly confirmed = new Map<number, string>();
    private readonly seen = new Map<string, number>();
    private changes = 0;

    constructor(private readonly options: SoakOperatorsOptions) {}

    /** Applies the first configuration. */
    async applyInitialConfiguration(): Promise<void> {
        const answer = await this.apply(this.options.cluster.nodes[0], 0, "first");
        if (answer.status !== 200) {
            throw new Error(`the first configuration was refused: ${answer.name}`);
        }
        this.confirmed.set(1, "first");
    }

    /** Lets two operators apply a change each, based on the same revision. */
    async applyConflictingChanges(): Promise<void> {
        const { tally } = this.options;
        const base = await this.readRevision(this.pickNode());
        if (base === undefined || base === 0) {
            return;
        }
        this.changes += 2;
        const ids = [`change-${this.changes - 1}`, `change-${this.changes}`];
        const answers = await Promise.all(ids.map(id => this.apply(this.pickNode(), base, id)));
        answers.forEach((answer, index) => {
            tally.count(`changes ${answer.status === 200 ? "committed" : answer.name ?? "unanswered"}`);
            if (answer.status === 200) {
                const before = this.confirmed.get(answer.revision!);
                tally.check(
                    "one change per revision",
                    before === undefined,
                    () => `revision ${answer.revision}: ${before} and ${ids[index]}`,
                );
                this.confirmed.set(answer.revision!, ids[index]);
            }
        });
    }

    /** Reads every node's revision and checks that none went back. */
    async checkRevisions(): Promise<void> {
        await Promise.all(this.options.cluster.nodes.map(async node => {
            const revision = await this.readRevision(node);
            if (revision === undefined || revision === 0) {
                return;
            }
            const before = this.seen.get(node.nodeId) ?? 0;
            this.options.tally.check(
                "configuration never reverts",
                revision >= before,
                () => `${node.nodeId}: ${before} then ${revision}`,
            );
            this.seen.set(node.nodeId, Math.max(before, revision));
        }));
    }

    /** Checks that every confirmed change is in the history under its revision, after all faults have ended. */
    async checkHistory(): Promise<void> {
        const { cluster, tally } = this.options;
        const rows = await cluster.standIns.tables.tables.list("configuration", "history/", 100_000);
        const committed = new Map(rows.map(row => {
            const { revision, changeId } = row.value as { revision: number; changeId: string; };
            return [revision, changeId];
        }));
        for (const [revision, changeId] of this.confirmed) {
            tally.check(
                "accepted changes stay",
                committed.get(revision) === changeId,
                () => `revision ${revision}: ${changeId} was confirmed, ${committed.get(revision)} is stored`,
            );
        }
        const latest = Math.max(...committed.keys());
        for (const node of cluster.nodes) {
            const revision = await this.readRevision(node);
            tally.check(
                "in force everywhere",
                revision === latest,
                () => `${node.nodeId} has ${revision}, ${latest} is committed`,
            );
        }
    }

    private async apply(node: SoakNode, expectRevision: number, changeId: string): Promise<ApplyAnswer> {
        const declaration = createSoakDeclaration(30_000 + this.changes);
        try {
            const answer = await fetch(`${node.callersUrl}/v1/operators/configuration`, {
                method: "POST",
                headers: { authorization: `Bearer ${soakOperatorToken}` },
                body: JSON.stringify({ expectRevision, changeId, declaration }),
                signal: AbortSignal.timeout(callTimeoutMs),
            });
            const body = await answer.json() as { revision?: number; error?: { name: string; }; };
            return { status: answer.status, revision: body.revision, name: body.error?.name };
        }
        catch {
            return { status: 0 };
        }
    }

    private async readRevision(node: SoakNode): Promise<number | undefined> {
        try {
            const answer = await fetch(`${node.callersUrl}/v1/entries`, {
                signal: AbortSignal.timeout(callTimeoutMs),
            });
            return (await answer.json() as { revision: number; }).revision;
        }
        catch {
            return undefined;
        }
    }

    private pickNode(): SoakNode {
        const { cluster, random } = this.options;
        return cluster.nodes[random.drawInt(cluster.nodes.length)];
    }
}
