import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { hashText } from "../src/_lib/hashText";
import type { StandInClusterOptions } from "../standins/StandInCluster";
import { ChildProcessHandle } from "../standins/ChildProcessHandle";
import { benchAccount, benchOperatorToken } from "./benchCredentials";
import { type ProcessUsage, readProcessUsage } from "./readProcessUsage";
import type { StandInAddresses } from "./standInProcess";

interface NodeAddresses {
    readonly callers: string;
    readonly peers: string;
}

const mainScript = join(__dirname, "..", "src", "cli", "main.js");
const standInScript = join(__dirname, "standInProcess.js");
const profileFolder = process.env.BENCH_PROFILE_FOLDER; // the node writes its CPU profiles into this folder
const readyPollMs = 50;
const readyTimeoutMs = 10_000;

/** One node and a process with its stand-ins, as child processes. */
export class BenchCluster {
    private constructor(
        readonly standIns: ChildProcessHandle<StandInAddresses>,
        readonly node: ChildProcessHandle<NodeAddresses>,
    ) {}

    /**
     * Starts the stand-ins and one node, and waits until the plain service answers through the node.
     *
     * @param options - runners and engine speed
     * @returns the running cluster
     * @throws when the node is not ready within 10 s
     */
    static async start(options: StandInClusterOptions): Promise<BenchCluster> {
        const standIns = await ChildProcessHandle.start<StandInAddresses>(standInScript, [
            JSON.stringify(options),
        ]);
        const folder = mkdtempSync(join(tmpdir(), "sequoiagrade-bench-"));
        const file = join(folder, "node.json");
        writeFileSync(
            file,
            JSON.stringify({
                nodeId: "bench",
                region: "bench",
                dataCentre: "dc-a",
                callers: { host: "127.0.0.1", port: 0 },
                peers: { host: "127.0.0.1", port: 0 },
                clusterKey: "bench-cluster-key-0123",
                operatorTokenHashes: [hashText(benchOperatorToken)],
                logLevel: "silent",
                platform: {
                    tables: standIns.readyMessage.tables,
                    objects: standIns.readyMessage.objects,
                    cloud: standIns.readyMessage.cloud,
                },
                limits: { maxQueuedRequests: 10_000, maxStreamBytes: 2_000_000_000 },
                timing: { resumeWindowMs: 1_000, streamSilenceMs: 60_000 },
            }),
        );
        const nodeArgs = profileFolder === undefined ? [] : ["--cpu-prof", `--cpu-prof-dir=${profileFolder}`];
        const node = await ChildProcessHandle.start<NodeAddresses>(
            mainScript,
            ["node", "--settings", file],
            nodeArgs,
        );
        const cluster = new BenchCluster(standIns, node);
        await cluster.waitUntilReady();
        return cluster;
    }

    /** Reads CPU time and memory of the node's process. */
    readNodeUsage(): ProcessUsage {
        return readProcessUsage(this.node.pid);
    }

    async stop(): Promise<void> {
        await this.node.stop(profileFolder === undefined ? "SIGKILL" : "SIGTERM");
        await this.standIns.stop();
    }

    private async waitUntilReady(): Promise<void> {
        const deadlineMs = performance.now() + readyTimeoutMs;
        while (performance.now() < deadlineMs) {
            const response = await fetch(`${this.node.readyMessage.callers}/v1/services/roster/status`, {
                headers: { authorization: `Bearer ${benchAccount.key}` },
            });
            await response.arrayBuffer();
            if (response.status === 200) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, readyPollMs));
        }
        throw new Error(
            "node did not answer the status request of service roster with 200 within the time limit",
        );
    }
}
