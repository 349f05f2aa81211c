import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, RandomSource, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { LinkCandidate } from "./planLinks";
import { ProbeQueue } from "./ProbeQueue";

/** Options of {@link LinkProber}. */
export interface LinkProberOptions {
    readonly scope: TaskScope;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Whether this node has no link at all. */
    readonly isIsolated: () => boolean;
    /** Number of members that are presumed to be reachable, without this node. */
    readonly countMembers: () => number;
    /** Whether a node is a member that is presumed to be reachable; it is then not probed. */
    readonly isMember: (nodeId: string) => boolean;
    /** Lists the nodes that this node would keep links to if the given ones were members. */
    readonly planTargets: (added: readonly LinkCandidate[]) => readonly string[];
    /** Makes a link to a node if there is none; resolves with whether it is up. */
    readonly tryLink: (nodeId: string) => Promise<boolean>;
}

const isolatedPauseMs = 50; // between two attempts while there is no link, and longer for each one that is pending
const pendingShare = 0.5; // of that pause, added for each attempt that is pending: members that are slow all dial then
const linkedPauseMs = 500; // between two attempts while there is a link, with up to as many members as share one turn
const membersPerTurn = 8; // with more members, each makes fewer attempts: one that reaches a node tells all others
const maxIsolatedIntervalMs = 500; // between two attempts to reach one node while there is no link
const maxGoneIntervalMs = 2_000;
const maxUnheardIntervalMs = 8_000;
const maxPending = 8;

interface TakenNode {
    readonly nodeId: string;
    readonly queue: ProbeQueue;
}

/**
 * Dials nodes that are no members, in turn and at a limited rate: those that are gone, as they may be reachable again
 * after a network partition, and those that were never heard, of which only a record is known. Many of these may not
 * exist, so the two kinds take turns. Nodes that are reached become members by announcing themselves.
 */
export class LinkProber {
    private readonly gone = new ProbeQueue({ maxIntervalMs: maxGoneIntervalMs });
    private readonly unheard = new ProbeQueue({ maxIntervalMs: maxUnheardIntervalMs });
    private turns: readonly [ProbeQueue, ProbeQueue] = [this.gone, this.unheard];
    private pending = 0;
    /** Monotonic time at which the last attempt began, in milliseconds. */
    private lastProbeMs = -Infinity;

    constructor(private readonly options: LinkProberOptions) {}

    /** Sets the nodes that are gone. */
    setGone(nodeIds: readonly string[]): void {
        const kept = new Set(nodeIds);
        this.gone.filter(nodeId => kept.has(nodeId));
        const nowMs = this.options.clock.readMonotonicMs();
        kept.forEach(nodeId => {
            this.unheard.remove(nodeId);
            this.gone.add(nodeId, nowMs);
        });
    }

    /**
     * Sets the nodes of which there is a record. Those that are neither members nor gone are probed.
     *
     * @param recorded - the nodes
     * @param renewed - those whose record was written again: they come first, as they have probably just started
     */
    setRecorded(recorded: ReadonlyMap<string, LinkCandidate>, renewed: readonly string[] = []): void {
        this.unheard.filter(nodeId => recorded.has(nodeId));
        renewed.forEach(nodeId => this.renew(nodeId));
        const added = [...recorded.values()].filter(({ nodeId }) => this.isNew(nodeId));
        if (added.length > 0) {
            // What would be dialled if all existed comes first: nodes that start together then agree on the same ones.
            const planned = this.options.planTargets(added).filter(nodeId => this.isNew(nodeId));
            const nowMs = this.options.clock.readMonotonicMs();
            planned.forEach(nodeId => this.unheard.add(nodeId, nowMs));
            this.shuffle(added).forEach(({ nodeId }) => this.unheard.add(nodeId, nowMs));
        }
    }

    /** Runs until the signal aborts. */
    *run(signal: AbortSignal): Task<void> {
        const { clock, isIsolated } = this.options;
        while (!signal.aborted) {
            if (
                this.pending < maxPending
                && clock.readMonotonicMs() >= this.lastProbeMs + this.computePauseMs()
            ) {
                this.startNextProbe();
            }
            yield* waitFor(clock.sleep(isIsolated() ? isolatedPauseMs : linkedPauseMs, signal));
        }
    }

    /** Computes the time between two attempts, in milliseconds. */
    private computePauseMs(): number {
        const { isIsolated, countMembers } = this.options;
        return isIsolated()
            ? isolatedPauseMs * (1 + this.pending * pendingShare)
            : linkedPauseMs * Math.max(1, countMembers() / membersPerTurn);
    }

    private startNextProbe(): void {
        const taken = this.takeNext();
        if (taken) {
            this.lastProbeMs = this.options.clock.readMonotonicMs();
            this.pending += 1;
            this.options.scope.run(`probe-${taken.nodeId}`, () => this.tryNode(taken));
        }
    }

    /** Takes the next node that is no member, from the queues in turn. */
    private takeNext(): TakenNode | undefined {
        const [first, second] = this.turns;
        const firstId = this.takeFrom(first);
        if (firstId !== undefined) {
            this.turns = [second, first];
            return { nodeId: firstId, queue: first };
        }
        const secondId = this.takeFrom(second);
        return secondId === undefined ? undefined : { nodeId: secondId, queue: second };
    }

    private takeFrom(queue: ProbeQueue): string | undefined {
        const { clock, isIsolated, isMember } = this.options;
        const nowMs = clock.readMonotonicMs();
        const maxIntervalMs = isIsolated() ? maxIsolatedIntervalMs : undefined;
        let nodeId = queue.takeDue({ nowMs, maxIntervalMs });
        while (nodeId !== undefined && isMember(nodeId)) {
            queue.remove(nodeId);
            nodeId = queue.takeDue({ nowMs, maxIntervalMs });
        }
        return nodeId;
    }

    private *tryNode({ nodeId, queue }: TakenNode): Task<void> {
        let wasReached = false;
        try {
            wasReached = yield* waitFor(this.options.tryLink(nodeId));
        }
        finally {
            this.pending -= 1;
            queue.putBack(nodeId, { wasReached, nowMs: this.options.clock.readMonotonicMs() });
        }
    }

    private renew(nodeId: string): void {
        [this.gone, this.unheard].filter(queue => queue.has(nodeId)).forEach(queue => queue.renew(nodeId));
    }

    private isNew(nodeId: string): boolean {
        return !this.options.isMember(nodeId) && !this.gone.has(nodeId) && !this.unheard.has(nodeId);
    }

    private shuffle(nodes: readonly LinkCandidate[]): LinkCandidate[] {
        return nodes.map(node => ({ node, weight: this.options.random.drawFloat() }))
            .sort((a, b) => a.weight - b.weight)
            .map(({ node }) => node);
    }
}
