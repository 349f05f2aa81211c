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
const profileFolder = process.env.BENCH_PROFILE_FOLDER; // processor profiles of the node are written there
const settlePollMs = 50;
const settleLimitMs = 10_000;

/** One node and its stand-ins, each in a process of its own. */
export class BenchCluster {
    private constructor(
        readonly standIns: ChildProcessHandle<StandInAddresses>,
        readonly node: ChildProcessHandle<NodeAddresses>,
    ) {}

    /** Starts stand-ins and one node, and waits until the node is ready and knows its runners. */
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

    /** Resources of the node's process. */
    readNodeUsage(): ProcessUsage {
        return readProcessUsage(this.node.pid);
    }

    async stop(): Promise<void> {
        await this.node.stop(profileFolder === undefined ? "SIGKILL" : "SIGTERM");
        await this.standIns.stop();
    }

    private async waitUntilReady(): Promise<void> {
        const deadlineMs = performance.now() + settleLimitMs;
        while (performance.now() < deadlineMs) {
            const answer = await fetch(`${this.node.readyMessage.callers}/v1/services/roster/status`, {
                headers: { authorization: `Bearer ${benchAccount.key}` },
            });
            await answer.arrayBuffer();
            if (answer.status === 200) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, settlePollMs));
        }
        throw new Error("the node did not become ready");
    }
}
