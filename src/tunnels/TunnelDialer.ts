import type { Socket } from "node:net";
import { createServiceName } from "../kernel/createServiceName";
import type { Clock, RandomSource } from "../kernel/types";
import type { Member } from "../membership/types";
import { computeTunnelProof } from "./computeTunnelProof";
import { openTunnel } from "./openTunnel";

/** Options of {@link TunnelDialer}. */
export interface TunnelDialerOptions {
    readonly nodeId: string;
    readonly dataCentre: string;
    readonly listLive: () => readonly Member[];
    readonly readClusterKey: () => string;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Opens a tunnel through one member; default: {@link openTunnel}. */
    readonly open?: typeof openTunnel;
}

const maxTries = 3;
const timeoutMs = 300; // of each member; covers its own attempt to connect
const avoidedMs = 3_000; // a member through which an upstream was not reached may be cut off itself

/** Opens connections to upstreams through other members. */
export class TunnelDialer {
    /** Monotonic time of the last failure of each member, in milliseconds. */
    private readonly failedMs = new Map<string, number>();

    constructor(private readonly options: TunnelDialerOptions) {}

    /**
     * Opens a connection to an upstream through one of the members, trying several in turn.
     *
     * @param target - host and port of the upstream
     * @returns the connection
     * @throws Error if the upstream is reached through none of those tried
     */
    async open(target: string): Promise<Socket> {
        const { readClusterKey, clock, open = openTunnel } = this.options;
        let lastError: unknown = new Error("no other member is live");
        for (const { nodeId, peersUrl } of this.listCandidates().slice(0, maxTries)) {
            try {
                const proof = computeTunnelProof({ clusterKey: readClusterKey(), nodeId, target });
                const socket = await open({ member: new URL(peersUrl).host, target, proof, timeoutMs });
                this.failedMs.delete(nodeId);
                return socket;
            }
            catch (error) {
                lastError = error;
                this.failedMs.set(nodeId, clock.readMonotonicMs());
            }
        }
        throw lastError;
    }

    /** Lists the other members: those that failed of late last, and before them those of this node's data centre. */
    private listCandidates(): Member[] {
        const { nodeId, dataCentre, listLive, clock, random } = this.options;
        const nowMs = clock.readMonotonicMs();
        const rank = (member: Member): number => {
            const hasFailed = nowMs - (this.failedMs.get(member.nodeId) ?? -Infinity) < avoidedMs;
            const isNear = member.dataCentre === dataCentre; // a partition often takes a whole data centre
            return Number(hasFailed) * 2 + Number(isNear) + random.drawFloat();
        };
        const ranked = listLive().filter(member => member.nodeId !== nodeId)
            .map(member => ({ member, rank: rank(member) }));
        return ranked.sort((a, b) => a.rank - b.rank).map(({ member }) => member);
    }
}

/** Name of the tunnel dialer service. */
export const tunnelDialerName = createServiceName<TunnelDialer>("tunnel-dialer");
