import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { hashText } from "../src/_lib/hashText";
import { eventKinds } from "../src/telemetry/eventKinds";
import { ChildProcessHandle } from "../standins/ChildProcessHandle";
import { StandInCluster, type StandInRunner } from "../standins/StandInCluster";
import { soakOperatorToken, soakServices } from "./soakSetup";

interface NodeAddresses {
    readonly callers: string;
    readonly peers: string;
}

/** A node of the soak run in its own process. */
export interface SoakNode {
    readonly nodeId: string;
    readonly dataCentre: string;
    readonly callersUrl: string;
    readonly process: ChildProcessHandle<NodeAddresses>;
}

const dataCentres: readonly string[] = ["dc-a", "dc-b", "dc-c", "dc-d"];
const mainScript = join(__dirname, "..", "src", "cli", "main.js");
const brokenInvariantPattern = `"event":${eventKinds.invariantBroken.number},`;
const plainRunnerCount = 3;
const drainMs = 8_000; // planned stops end while calls and their bodies are under way

/** Stand-ins in this process and nodes in child processes, which can be killed and suspended. */
export class SoakCluster {
    readonly standIns: StandInCluster;
    /** Running nodes, including those that are shutting down. */
    nodes: SoakNode[] = [];
    /** Times at which nodes were killed without notice, by node ID. */
    readonly killTimesMs = new Map<string, number>();
    readonly brokenInvariants: string[] = [];
    private readonly folder = mkdtempSync(join(tmpdir(), "sequoiagrade-soak-"));
    private startedCount = 0;

    constructor(private readonly nodeCount: number) {
        this.standIns = new StandInCluster({
            modelRunners: dataCentres.map(dataCentre => ({ service: soakServices.model, dataCentre })),
            plainRunners: dataCentres.slice(0, plainRunnerCount).map(dataCentre => ({
                service: soakServices.plain,
                dataCentre,
            })),
            engine: { stepMs: 10, reportLagMs: 100, slots: 24 },
            listLagMs: 500,
        });
        this.standIns.onEntryVmEnd = nodeId => void this.handleEntryVmEnd(nodeId);
    }

    async start(): Promise<void> {
        await this.standIns.start();
        await Promise.all(Array.from({ length: this.nodeCount }, () => this.startNode()));
    }

    async stop(): Promise<void> {
        await Promise.all(this.nodes.map(node => node.process.stop()));
        await this.standIns.stop();
    }

    /** Starts a new node and adds its VM to the cloud's list. */
    async startNode(): Promise<SoakNode> {
        this.startedCount += 1;
        const nodeId = `entry-${this.startedCount}`;
        const dataCentre = dataCentres[this.startedCount % dataCentres.length];
        const file = join(this.folder, `${nodeId}.json`);
        writeFileSync(file, JSON.stringify(this.createSettings(nodeId, dataCentre)));
        const process = await ChildProcessHandle.start<NodeAddresses>(
            mainScript,
            ["node", "--settings", file],
            [],
            line => this.handleErrorLine(line),
        );
        const node = { nodeId, dataCentre, callersUrl: process.readyMessage.callers, process };
        this.nodes.push(node);
        this.standIns.addEntry(nodeId, dataCentre, process.readyMessage.peers);
        return node;
    }

    /** Kills a node without notice and ends its VM. */
    async killNode(node: SoakNode): Promise<void> {
        this.killTimesMs.set(node.nodeId, Date.now());
        this.removeNode(node);
        await node.process.stop();
        this.standIns.cloud.endVm(`vm-${node.nodeId}`);
    }

    /** Shuts a node down gracefully and ends its VM. */
    async stopNode(node: SoakNode): Promise<void> {
        await node.process.stop("SIGTERM");
        this.removeNode(node);
        this.standIns.cloud.endVm(`vm-${node.nodeId}`);
    }

    /** Starts a runner of the same service and data centre as one that was reclaimed or killed. */
    async replaceRunner(runner: StandInRunner): Promise<void> {
        const { service, dataCentre } = runner.vm;
        if (runner.engine) {
            await this.standIns.addEngine(service, dataCentre);
        }
        else {
            await this.standIns.addPlain(service, dataCentre);
        }
    }

    private async handleEntryVmEnd(nodeId: string): Promise<void> {
        const node = this.nodes.find(candidate => candidate.nodeId === nodeId);
        if (node) {
            this.removeNode(node);
            await node.process.stop();
        }
    }

    private removeNode(node: SoakNode): void {
        this.nodes = this.nodes.filter(candidate => candidate !== node);
    }

    private handleErrorLine(line: string): void {
        if (line.includes(brokenInvariantPattern)) {
            this.brokenInvariants.push(line);
        }
        process.stderr.write(`${line}\n`);
    }

    private createSettings(nodeId: string, dataCentre: string): unknown {
        return {
            nodeId,
            region: "soak",
            dataCentre,
            callers: { host: "127.0.0.1", port: 0 },
            peers: { host: "127.0.0.1", port: 0 },
            clusterKey: "soak-cluster-key-0123456789",
            operatorTokenHashes: [hashText(soakOperatorToken)],
            logLevel: "error",
            platform: {
                tables: this.standIns.tables.server.url,
                objects: this.standIns.objects.server.url,
                cloud: this.standIns.cloud.server.url,
            },
            timing: { storeTimeoutMs: 1_000, streamSilenceMs: 2_000, vmListPollMs: 250, drainMs },
        };
    }
}
