import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { PeerLink } from "./PeerLink";

/** Options of {@link LinkKeepalive}. */
export interface LinkKeepaliveOptions {
    readonly clock: Clock;
    readonly heartbeatMs: number;
    /** A link on which nothing has arrived for this long is silent. */
    readonly linkTimeoutMs: number;
    /** A link that was opened for a call is idle when no call has used it for this long. */
    readonly idleLinkTimeoutMs: number;
    readonly listLinks: () => readonly PeerLink[];
    readonly sendHeartbeat: (link: PeerLink) => void;
    /** Called for each silent link. */
    readonly onSilent: (link: PeerLink) => void;
    /** Called for each idle link: in a large cluster, idle links would cost more than the calls. */
    readonly onIdle: (link: PeerLink) => void;
}

const beatsPerDigest = 4; // heartbeats also carry the digest of the gossip map

/**
 * Keeps links alive by heartbeats, and finds silent and idle ones. Where other frames show that this node is alive, most
 * heartbeats are left out.
 */
export class LinkKeepalive {
    constructor(private readonly options: LinkKeepaliveOptions) {}

    /** Runs until the signal aborts. */
    *run(signal: AbortSignal): Task<void> {
        const { clock, heartbeatMs } = this.options;
        for (let beat = 0; !signal.aborted; beat += 1) {
            const dueMs = clock.readMonotonicMs() + heartbeatMs;
            yield* waitFor(clock.sleep(heartbeatMs, signal));
            this.acceptDelay(clock.readMonotonicMs() - dueMs);
            const isDigestDue = beat % beatsPerDigest === 0;
            this.options.listLinks().forEach(link => this.checkLink(link, isDigestDue));
        }
    }

    /** Extends the time limit of all links by the time for which this process was delayed and may not have read them. */
    private acceptDelay(delayMs: number): void {
        if (delayMs > this.options.heartbeatMs) {
            for (const link of this.options.listLinks()) {
                link.lastReceivedMs += delayMs;
            }
        }
    }

    private checkLink(link: PeerLink, isDigestDue: boolean): void {
        const { clock, heartbeatMs, linkTimeoutMs, idleLinkTimeoutMs } = this.options;
        const nowMs = clock.readMonotonicMs();
        if (link.lastReceivedMs < nowMs - linkTimeoutMs) {
            this.options.onSilent(link);
        }
        else if (link.isOnDemand && link.lastCallMs < nowMs - idleLinkTimeoutMs) {
            this.options.onIdle(link);
        }
        else if (isDigestDue || link.lastSentMs <= nowMs - heartbeatMs) {
            this.options.sendHeartbeat(link);
        }
    }
}
