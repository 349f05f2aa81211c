/** Types of the links between members. */

import type { Clock, RandomSource } from "../kernel/types";
import type { EventLog } from "../telemetry/EventLog";
import type { GossipMap } from "./GossipMap";

/** Web-socket address of a node. */
export interface PeerAddress {
    readonly nodeId: string;
    readonly url: string;
    /** Data centre of the node; undefined in records of older versions. */
    readonly dataCentre?: string;
}

/** Options of `PeerNetwork`. */
export interface PeerNetworkOptions {
    readonly nodeId: string;
    readonly dataCentre?: string;
    /** Reads the secret that members prove to each other; it may change. */
    readonly readClusterKey: () => string;
    /** Called when a peer proves that it knows another secret. */
    readonly onWrongProof?: () => void;
    readonly host: string;
    readonly port: number;
    readonly heartbeatMs: number;
    /**
     * A link on which nothing has arrived for this long is closed. Also the time limit of dialling a member and of each
     * step of the handshake.
     */
    readonly linkTimeoutMs: number;
    readonly maxFrameBytes: number;
    /** A link that was opened for a call is closed when no call has used it for this long; default 30,000 ms. */
    readonly idleLinkTimeoutMs?: number;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
    readonly gossip: GossipMap;
    /** Reads the configuration revision that the heartbeats report. */
    readonly readRevision: () => number;
}
