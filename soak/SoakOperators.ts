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

/** Simulated operators who change the configuration concurrently, and checks of the revisions that result. */
export class SoakOperators {
    /** ID of the change that was confirmed for each revision. */
    private readonly confirmedChanges = new Map<number, string>();
    /** Latest revision that each node reported, by node ID. */
    private readonly latestRevisions = new Map<string, number>();
    private changeCount = 0;

    constructor(private readonly options: SoakOperatorsOptions) {}

    /** Applies the initial configuration. */
    async applyInitialConfiguration(): Promise<void> {
        const answer = await this.applyConfiguration(this.options.cluster.nodes[0], 0, "first");
        if (answer.status !== 200) {
            throw new Error(`the initial configuration was refused: ${answer.name}`);
        }
        this.confirmedChanges.set(1, "first");
    }

    /**
     * Applies two changes concurrently, both based on the same revision, and checks that no revision is committed
     * twice.
     */
    async applyConflictingChanges(): Promise<void> {
        const { tally } = this.options;
        const base = await this.readRevision(this.pickNode());
        if (base === undefined || base === 0) {
            return;
        }
        this.changeCount += 2;
        const ids = [`change-${this.changeCount - 1}`, `change-${this.changeCount}`];
        const answers = await Promise.all(ids.map(id => this.applyConfiguration(this.pickNode(), base, id)));
        answers.forEach((answer, index) => {
            tally.count(`changes ${answer.status === 200 ? "committed" : answer.name ?? "unanswered"}`);
            if (answer.status === 200) {
                const before = this.confirmedChanges.get(answer.revision!);
                tally.check(
                    "one change per revision",
                    before === undefined,
                    () => `revision ${answer.revision}: ${before} and ${ids[index]}`,
                );
                this.confirmedChanges.set(answer.revision!, ids[index]);
            }
        });
    }

    /** Checks that no node reports an older revision than before. */
    async checkRevisions(): Promise<void> {
        await Promise.all(this.options.cluster.nodes.map(async node => {
            const revision = await this.readRevision(node);
            if (revision === undefined || revision === 0) {
                return;
            }
            const before = this.latestRevisions.get(node.nodeId) ?? 0;
            this.options.tally.check(
                "configuration never reverts",
                revision >= before,
                () => `${node.nodeId}: ${before} then ${revision}`,
            );
            this.latestRevisions.set(node.nodeId, Math.max(before, revision));
        }));
    }

    /**
     * Checks that every confirmed change is in the stored history under its revision, and that all nodes have the
     * latest revision. Requires that all faults have ended.
     */
    async checkHistory(): Promise<void> {
        const { cluster, tally } = this.options;
        const rows = await cluster.standIns.tables.tables.list("configuration", "history/", 100_000);
        const committed = new Map(rows.map(row => {
            const { revision, changeId } = row.value as { revision: number; changeId: string; };
            return [revision, changeId];
        }));
        for (const [revision, changeId] of this.confirmedChanges) {
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

    private async applyConfiguration(
        node: SoakNode,
        expectRevision: number,
        changeId: string,
    ): Promise<ApplyAnswer> {
        const declaration = createSoakDeclaration(30_000 + this.changeCount);
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
