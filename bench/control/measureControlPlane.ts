import { peerNetworkName } from "../../src/peers/PeerNetwork";
import { ServingTestbed } from "../../standins/platform/ServingTestbed";
import { pause } from "../../standins/pause";

/** What the nodes of an idle cluster spend on being members. Values are per node and second unless stated. */
export interface ControlPlaneFigures {
    readonly nodes: number;
    readonly dataCentres: number;
    readonly framesSent: number;
    /** Frames that the node with the most sends. */
    readonly maxFramesSent: number;
    readonly bytesSent: number;
    readonly maxBytesSent: number;
    readonly storeCalls: number;
    /** Processor time of the whole process, stand-ins included, divided by the number of nodes, in milliseconds. */
    readonly processorMs: number;
    /** Links of the node with the most. */
    readonly maxLinks: number;
}

/** Options of {@link measureControlPlane}. */
export interface MeasureControlPlaneOptions {
    readonly nodes: number;
    readonly dataCentres?: number;
    /** Duration of the measurement, in milliseconds; default 10,000. */
    readonly durationMs?: number;
}

const defaultDataCentres = 6;
const defaultDurationMs = 10_000;
const settleMs = 6_000; // links are set up and leases acquired
const msPerSecond = 1_000;
const microsPerMs = 1_000;

/**
 * Starts nodes without any request in one process, and measures what they spend.
 *
 * @param options - size of the cluster
 * @returns the figures
 */
export const measureControlPlane = async (
    options: MeasureControlPlaneOptions,
): Promise<ControlPlaneFigures> => {
    const { nodes, dataCentres = defaultDataCentres, durationMs = defaultDurationMs } = options;
    const testbed = new ServingTestbed();
    await testbed.start();
    try {
        await testbed.addRunner("app", { id: "app-1" });
        for (let index = 0; index < nodes; index += 1) {
            await testbed.addNode({ dataCentre: `dc-${index % dataCentres}` });
        }
        await pause(settleMs);
        return await measureInterval(testbed, dataCentres, durationMs);
    }
    finally {
        await testbed.stop();
    }
};

const measureInterval = async (
    testbed: ServingTestbed,
    dataCentres: number,
    durationMs: number,
): Promise<ControlPlaneFigures> => {
    const networks = testbed.nodes.map(({ node }) => node.kernel.find(peerNetworkName));
    const before = networks.map(network => ({ ...network.counters }));
    const callsBefore = testbed.store.callCount;
    const usage = process.cpuUsage();
    const startMs = performance.now();
    await pause(durationMs);
    const seconds = (performance.now() - startMs) / msPerSecond;
    const { user, system } = process.cpuUsage(usage);
    const frames = networks.map(({ counters }, index) => counters.messagesSent - before[index].messagesSent);
    const bytes = networks.map(({ counters }, index) => counters.bytesSent - before[index].bytesSent);
    const nodes = networks.length;
    return {
        nodes,
        dataCentres,
        framesSent: sum(frames) / nodes / seconds,
        maxFramesSent: Math.max(...frames) / seconds,
        bytesSent: sum(bytes) / nodes / seconds,
        maxBytesSent: Math.max(...bytes) / seconds,
        storeCalls: (testbed.store.callCount - callsBefore) / nodes / seconds,
        processorMs: (user + system) / microsPerMs / nodes / seconds,
        maxLinks: Math.max(...networks.map(network => network.linkedNodeIds.length)),
    };
};

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
