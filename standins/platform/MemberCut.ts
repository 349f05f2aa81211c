import { clusterKeyName } from "../../src/peers/ClusterKey";
import { peerNetworkName } from "../../src/peers/PeerNetwork";
import type { PeerLink } from "../../src/peers/PeerLink";
import type { TestNode } from "./ServingTestbed";

/** Cuts one node off from all other nodes: its links are lost, and no handshake succeeds until the cut ends. */
export class MemberCut {
    constructor(private readonly target: TestNode) {}

    /** Cuts the node off. */
    interrupt(): void {
        const { kernel } = this.target.node;
        const key = kernel.find(clusterKeyName);
        Object.defineProperty(key, "value", { configurable: true, get: () => "the key of no cluster" });
        const links = Reflect.get(kernel.find(peerNetworkName), "links") as ReadonlyMap<string, PeerLink>;
        links.forEach(link => link.close());
    }

    /** Ends the cut. */
    restore(): void {
        Reflect.deleteProperty(this.target.node.kernel.find(clusterKeyName), "value");
    }
}
