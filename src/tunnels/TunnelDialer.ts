import type { Duplex } from "node:stream";
import { createServiceName } from "../kernel/createServiceName";
import type { Clock, RandomSource } from "../kernel/types";
import type { Membership } from "../membership/Membership";
import type { Member } from "../membership/types";
import { computeTunnelProof } from "./computeTunnelProof";
import { openTunnel, type OpenTunnelOptions } from "./openTunnel";

/** Options of {@link TunnelDialer}. */
export interface TunnelDialerOptions {
    readonly nodeId: string;
    readonly dataCentre: string;
    readonly membership: Pick<Membership, "listLive" | "members">;
    readonly readClusterKey: () => string;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Opens a tunnel through one member; default: {@link openTunnel}. */
    readonly open?: (options: OpenTunnelOptions) => Promise<Duplex>;
}

const maxTries = 3;
const timeoutMs = 200; // of each member; covers its own attempt to connect
const avoidedMs = 3_000; // a member through which an upstream was not reached may be cut off itself

/** Opens connections to upstreams through other members. */
export class TunnelDialer {
    /** Monotonic time of the last failure of each member, in milliseconds. */
    private readonly failedMs = new Map<string, number>();
    /** Names of the members through which connections were opened, and that were live since. */
    private readonly usedIds = new Set<string>();
    private readonly leftListeners: (() => void)[] = [];

    constructor(private readonly options: TunnelDialerOptions) {}

    async start(): Promise<void> {
        this.options.membership.members.onChange(() => this.dropLeft());
    }

    /** Adds a listener for members that leave or are lost after connections were opened through them. */
    onMemberLeft(listener: () => void): void {
        this.leftListeners.push(listener);
    }

    /**
     * Opens a connection to an upstream through one of the members, trying several in turn.
     *
     * @param target - host and port of the upstream
     * @returns the connection
     * @throws Error if the upstream is reached through none of those tried
     */
    async open(target: string): Promise<Duplex> {
        const { readClusterKey, clock, open = openTunnel } = this.options;
        let lastError: unknown = new Error("no other member is live");
        for (const { nodeId, peersUrl } of this.listCandidates().slice(0, maxTries)) {
            try {
                const proof = computeTunnelProof({ clusterKey: readClusterKey(), nodeId, target });
                const socket = await open({ member: new URL(peersUrl).host, target, proof, timeoutMs });
                this.failedMs.delete(nodeId);
                this.usedIds.add(nodeId);
                return socket;
            }
            catch (error) {
                lastError = error;
                this.failedMs.set(nodeId, clock.readMonotonicMs());
            }
        }
        throw lastError;
    }

    private dropLeft(): void {
        const liveIds = new Set(this.options.membership.listLive().map(({ nodeId }) => nodeId));
        const left = [...this.usedIds].filter(nodeId => !liveIds.has(nodeId));
        left.forEach(nodeId => this.usedIds.delete(nodeId));
        if (left.length > 0) {
            this.leftListeners.forEach(listener => listener());
        }
    }

    /** Lists the other members: those that failed of late last, and before them those of this node's data centre. */
    private listCandidates(): Member[] {
        const { nodeId, dataCentre, membership, clock, random } = this.options;
        const nowMs = clock.readMonotonicMs();
        const rank = (member: Member): number => {
            const hasFailed = nowMs - (this.failedMs.get(member.nodeId) ?? -Infinity) < avoidedMs;
            const isNear = member.dataCentre === dataCentre; // a partition often takes a whole data centre
            return Number(hasFailed) * 2 + Number(isNear) + random.drawFloat();
        };
        const ranked = membership.listLive().filter(member => member.nodeId !== nodeId)
            .map(member => ({ member, rank: rank(member) }));
        return ranked.sort((a, b) => a.rank - b.rank).map(({ member }) => member);
    }
}

/** Name of the tunnel dialer service. */
export const tunnelDialerName = createServiceName<TunnelDialer>("tunnel-dialer");
