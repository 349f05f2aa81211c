import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, RandomSource, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { PeerError } from "./PeerError";

/** Options of {@link LinkKeeper}. */
export interface LinkKeeperOptions {
    readonly scope: TaskScope;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Waits for the end of the link to a node; undefined if there is none. */
    readonly waitForLinkEnd: (nodeId: string) => Promise<void> | undefined;
    /** Dials a node and serves the link until it ends; throws a {@link PeerError} when it cannot be reached. */
    readonly dialAndServe: (nodeId: string, signal: AbortSignal) => Task<void>;
    /** Called when a node cannot be reached. */
    readonly onUnreachable: (nodeId: string) => void;
    /** Called when the link to a node is no longer kept. */
    readonly onDropped: (nodeId: string) => void;
}

const firstRedialMs = 100;
const maxRedialMs = 2_000;

/** Keeps links to a set of members: dials each with exponential back-off and jitter whenever there is no link. */
export class LinkKeeper {
    /** Cancels the task of each member that this node keeps a link to. */
    private readonly tasks = new Map<string, () => void>();

    constructor(private readonly options: LinkKeeperOptions) {}

    /** Sets the members to which links are kept. */
    setTargets(targets: ReadonlySet<string>): void {
        for (const [nodeId, cancel] of this.tasks) {
            if (!targets.has(nodeId)) {
                this.options.onDropped(nodeId);
                cancel();
                this.tasks.delete(nodeId);
            }
        }
        for (const nodeId of targets) {
            if (!this.tasks.has(nodeId)) {
                const handle = this.options.scope.run(
                    `peer-${nodeId}`,
                    signal => this.keepLink(nodeId, signal),
                );
                this.tasks.set(nodeId, () => handle.cancel());
            }
        }
    }

    private *keepLink(nodeId: string, signal: AbortSignal): Task<void> {
        const { clock, random } = this.options;
        let delayMs = firstRedialMs;
        while (!signal.aborted) {
            const startedMs = clock.readMonotonicMs();
            yield* this.holdLink(nodeId, signal);
            const lastedMs = clock.readMonotonicMs() - startedMs;
            delayMs = lastedMs > maxRedialMs ? firstRedialMs : Math.min(maxRedialMs, delayMs * 2);
            const jitter = 0.5 + random.drawFloat() / 2;
            yield* waitFor(clock.sleep(delayMs * jitter, signal));
        }
    }

    /** Waits for the end of the link to a node, after making one if there is none. */
    private *holdLink(nodeId: string, signal: AbortSignal): Task<void> {
        const linkEnd = this.options.waitForLinkEnd(nodeId);
        if (linkEnd) {
            yield* waitFor(linkEnd);
            return;
        }
        try {
            yield* this.options.dialAndServe(nodeId, signal);
        }
        catch (error) {
            if (!(error instanceof PeerError)) {
                throw error;
            }
            this.options.onUnreachable(nodeId);
        }
    }
}
