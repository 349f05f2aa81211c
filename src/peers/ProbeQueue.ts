/** Options of {@link ProbeQueue}. */
export interface ProbeQueueOptions {
    /** Longest time between two attempts to reach a node, in milliseconds. */
    readonly maxIntervalMs: number;
}

/** Options of {@link ProbeQueue.takeDue}. */
export interface TakeDueOptions {
    /** Monotonic time, in milliseconds. */
    readonly nowMs: number;
    /** Limit of the time between two attempts for this call, in milliseconds; default: that of the queue. */
    readonly maxIntervalMs?: number;
}

const firstIntervalMs = 500;

/**
 * Turns of nodes that are tried again with exponential back-off. Nodes after equally many attempts wait in one line, in
 * which the first is due first, so that the cost of a turn does not grow with the number of nodes.
 */
export class ProbeQueue {
    /** Monotonic time of the last attempt of each waiting node, by the number of its failed attempts. */
    private readonly lines: Map<string, number>[] = [];
    /** Number of failed attempts of each waiting node. */
    private readonly failures = new Map<string, number>();
    /** Number of failed attempts of each node that was taken and not put back. */
    private readonly taken = new Map<string, number>();
    /** Nodes whose attempts so far no longer count; they come before those that were never tried. */
    private readonly renewed = new Set<string>();
    private prefersUntried = true;

    constructor(private readonly options: ProbeQueueOptions) {}

    /** Number of nodes, those that are taken included. */
    get size(): number {
        return this.renewed.size + this.failures.size + this.taken.size;
    }

    has(nodeId: string): boolean {
        return this.renewed.has(nodeId) || this.failures.has(nodeId) || this.taken.has(nodeId);
    }

    /** Adds a node that is due from a time on, by default at once; no effect if it is there. */
    add(nodeId: string, dueMs = -Infinity): void {
        if (!this.has(nodeId)) {
            this.enqueue(nodeId, 0, dueMs);
        }
    }

    /** Ends the back-off of a node, which is due at once; adds it if it is not there. One that is taken is due again. */
    renew(nodeId: string): void {
        this.remove(nodeId);
        this.renewed.add(nodeId);
    }

    remove(nodeId: string): void {
        this.renewed.delete(nodeId);
        this.taken.delete(nodeId);
        this.lines[this.failures.get(nodeId) ?? -1]?.delete(nodeId);
        this.failures.delete(nodeId);
    }

    /** Removes all nodes but the given ones. */
    filter(isKept: (nodeId: string) => boolean): void {
        [...this.renewed, ...this.failures.keys(), ...this.taken.keys()].filter(nodeId => !isKept(nodeId))
            .forEach(nodeId => this.remove(nodeId));
    }

    /**
     * Takes the node whose turn came first, in every other call among those that were renewed or never tried, if there are
     * any. It has no further turn until {@link putBack}.
     *
     * @param options - time, and a limit of the back-off
     * @returns the node's name, or undefined while none is due
     */
    takeDue({ nowMs, maxIntervalMs = Infinity }: TakeDueOptions): string | undefined {
        const heads = this.lines.flatMap((line, failures) => {
            const [head] = line;
            const intervalMs = Math.min(this.computeIntervalMs(failures), maxIntervalMs);
            return head ? [{ nodeId: head[0], failures, dueMs: head[1] + intervalMs }] : [];
        });
        const ready = heads.filter(({ dueMs }) => dueMs <= nowMs).sort((a, b) => a.dueMs - b.dueMs);
        const untried = this.peekRenewed() ?? ready.find(({ failures }) => failures === 0);
        const due = (this.prefersUntried ? untried : undefined) ?? ready.at(0) ?? untried;
        if (due) {
            this.prefersUntried = !this.prefersUntried;
            this.remove(due.nodeId);
            this.taken.set(due.nodeId, due.failures);
        }
        return due?.nodeId;
    }

    /**
     * Puts a taken node back; no effect if it was removed.
     *
     * @param nodeId - the node
     * @param options - whether it was reached, which ends its back-off, and the monotonic time in milliseconds
     */
    putBack(nodeId: string, { wasReached, nowMs }: { wasReached: boolean; nowMs: number; }): void {
        const failures = this.taken.get(nodeId);
        if (failures !== undefined) {
            this.taken.delete(nodeId);
            this.enqueue(nodeId, wasReached ? 1 : Math.min(failures + 1, this.countLevels()), nowMs);
        }
    }

    private peekRenewed(): { readonly nodeId: string; readonly failures: number; } | undefined {
        const [nodeId] = this.renewed;
        return nodeId === undefined ? undefined : { nodeId, failures: 0 };
    }

    private enqueue(nodeId: string, failures: number, triedMs: number): void {
        this.lines[failures] ??= new Map();
        this.lines[failures].set(nodeId, triedMs);
        this.failures.set(nodeId, failures);
    }

    private computeIntervalMs(failures: number): number {
        return failures === 0
            ? 0
            : Math.min(firstIntervalMs * 2 ** (failures - 1), this.options.maxIntervalMs);
    }

    /** Number of failed attempts from which on the back-off does not grow. */
    private countLevels(): number {
        return 1 + Math.ceil(Math.log2(this.options.maxIntervalMs / firstIntervalMs));
    }
}
