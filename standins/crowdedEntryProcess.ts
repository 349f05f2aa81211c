import { demoSetup } from "../demo/demoSetup";
import type { Settings } from "../src/settings/settingsSchema";
import { LocalCluster } from "./LocalCluster";

/** Address of the node; the process prints it as one JSON line when it is ready. */
export interface CrowdedEntry {
    /** Host and port. */
    readonly address: string;
}

/** Runs one entry node of the demo with its stand-ins until it is killed. The argument holds limits of its settings, as JSON. */
const main = async (): Promise<void> => {
    const limits = JSON.parse(process.argv[2]) as Partial<Settings["limits"]>;
    const cluster = new LocalCluster({ ...demoSetup, nodes: demoSetup.nodes.slice(0, 1), limits });
    await cluster.start();
    const { host } = new URL(cluster.nodes[0].callersUrl);
    process.stdout.write(`${JSON.stringify({ address: host } satisfies CrowdedEntry)}\n`);
};

void main();
