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

/** A node of the soak run, in a process of its own. */
export interface SoakNode {
    readonly nodeId: string;
    readonly dataCentre: string;
    readonly callersUrl: string;
    readonly process: ChildProcessHandle<NodeAddresses>;
}

const dataCentres: readonly string[] = ["dc-a", "dc-b", "dc-c", "dc-d"];
const mainScript = join(__dirname, "..", "src", "cli", "main.js");
const brokenInvariantMark = `"event":${eventKinds.invariantBroken.number},`;
const plainLimit = 3;

/** Stand-ins in this process and nodes in processes of their own, which can be killed and frozen. */
export class SoakCluster {
    readonly standIns: StandInCluster;
    /** Nodes that run, leaving ones included. */
    nodes: SoakNode[] = [];
    /** Nodes that ended without an announcement, by the time it began. */
    readonly killTimesMs = new Map<string, number>();
    readonly brokenInvariants: string[] = [];
    private readonly folder = mkdtempSync(join(tmpdir(), "sequoiagrade-soak-"));
    private started = 0;

    constructor(private readonly nodeCount: number) {
        this.standIns = new StandInCluster({
            modelRunners: dataCentres.map(dataCentre => ({ service: soakServices.model, dataCentre })),
            plainRunners: dataCentres.slice(0, plainLimit).map(dataCentre => ({
                service: soakServices.plain,
                dataCentre,
            })),
            engine: { stepMs: 10, reportLagMs: 100, slots: 24 },
            listLagMs: 500,
        });
        this.standIns.onEntryVmEnd = nodeId => void this.takeNode(nodeId);
    }

    async start(): Promise<void> {
        await this.standIns.start();
        await Promise.all(Array.from({ length: this.nodeCount }, () => this.startNode()));
    }

    async stop(): Promise<void> {
        await Promise.all(this.nodes.map(node => node.process.stop()));
        await this.standIns.stop();
    }

    /** Starts a new node and lists its VM. */
    async startNode(): Promise<SoakNode> {
        this.started += 1;
        const nodeId = `entry-${this.started}`;
        const dataCentre = dataCentres[this.started % dataCentres.length];
        const file = join(this.folder, `${nodeId}.json`);
        writeFileSync(file, JSON.stringify(this.createSettings(nodeId, dataCentre)));
        const process = await ChildProcessHandle.start<NodeAddresses>(
            mainScript,
            ["node", "--settings", file],
            [],
            line => this.readErrorLine(line),
        );
        const node = { nodeId, dataCentre, callersUrl: process.readyMessage.callers, process };
        this.nodes.push(node);
        this.standIns.addEntry(nodeId, dataCentre, process.readyMessage.peers);
        return node;
    }

    /** Kills a node without an announcement. */
    async killNode(node: SoakNode): Promise<void> {
        this.killTimesMs.set(node.nodeId, Date.now());
        this.forget(node);
        await node.process.stop();
        this.standIns.cloud.endVm(`vm-${node.nodeId}`);
    }

    /** Stops a node as planned. */
    async stopNode(node: SoakNode): Promise<void> {
        await node.process.stop("SIGTERM");
        this.forget(node);
        this.standIns.cloud.endVm(`vm-${node.nodeId}`);
    }

    /** Replaces a runner that was taken or killed. */
    async replaceRunner(runner: StandInRunner): Promise<void> {
        const { service, dataCentre } = runner.vm;
        if (runner.engine) {
            await this.standIns.addEngine(service, dataCentre);
        }
        else {
            await this.standIns.addPlain(service, dataCentre);
        }
    }

    private async takeNode(nodeId: string): Promise<void> {
        const node = this.nodes.find(candidate => candidate.nodeId === nodeId);
        if (node) {
            this.forget(node);
            await node.process.stop();
        }
    }

    private forget(node: SoakNode): void {
        this.nodes = this.nodes.filter(candidate => candidate !== node);
    }

    private readErrorLine(line: string): void {
        if (line.includes(brokenInvariantMark)) {
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
            timing: { storeTimeoutMs: 1_000, streamSilenceMs: 2_000, vmListPollMs: 250 },
        };
    }
}
