import type { RandomSource } from "../src/kernel/types";
import { pause } from "../standins/pause";
import type { StandInRunner } from "../standins/StandInCluster";
import type { Fault, StandInServer } from "../standins/StandInServer";
import type { SoakCluster } from "./SoakCluster";
import type { SoakTally } from "./SoakTally";

/** Options of {@link FaultInjector}. */
export interface FaultInjectorOptions {
    readonly cluster: SoakCluster;
    readonly random: RandomSource;
    readonly tally: SoakTally;
    /** Minimum number of nodes that run without a fault. */
    readonly minHealthyNodes: number;
}

const minFaultMs = 800;
const faultRangeMs = 3_500;
const minNoticeMs = 1_500;
const noticeRangeMs = 2_500;
const nodeReplacementDelayMs = 500;

/** Injects faults into nodes, runners and the platform's services, one or two at a time. */
export class FaultInjector {
    private activeNodeFaults = 0;
    private activeRunnerFaults = 0;

    constructor(private readonly options: FaultInjectorOptions) {}

    /** Injects one or two concurrent faults and resolves when they have ended. */
    async injectFaults(): Promise<void> {
        const count = 1 + this.options.random.drawInt(2);
        await Promise.all(Array.from({ length: count }, () => this.injectFault()));
    }

    private async injectFault(): Promise<void> {
        const { random } = this.options;
        switch (random.drawInt(4)) {
            case 0:
                return this.breakNode();
            case 1:
                return this.breakRunner();
            default:
                return this.breakPlatform();
        }
    }

    private async breakPlatform(): Promise<void> {
        const { cluster, random } = this.options;
        const { tables, objects, cloud } = cluster.standIns;
        const targets: readonly (readonly [string, StandInServer])[] = [
            ["tables", tables.server],
            ["tables", tables.server],
            ["objects", objects.server],
            ["cloud", cloud.server],
        ];
        const [name, server] = targets[random.drawInt(targets.length)];
        await this.injectServerFault(name, server);
    }

    private async injectServerFault(name: string, server: StandInServer): Promise<void> {
        const { random, tally } = this.options;
        const kinds: readonly Fault["kind"][] = ["outage", "delay", "lose-answers", "silent"];
        const kind = kinds[random.drawInt(kinds.length)];
        tally.count(`faults: ${name} ${kind}`);
        server.setFault({ kind, ms: 200 + random.drawInt(2_000) });
        await this.waitFaultDuration();
        server.setFault({ kind: "none" });
    }

    private async breakRunner(): Promise<void> {
        const { cluster, random, tally } = this.options;
        if (this.activeRunnerFaults > 0) {
            return;
        }
        this.activeRunnerFaults += 1;
        const runners = cluster.standIns.runners.filter(runner => !this.isGone(runner));
        const runner = runners[random.drawInt(runners.length)];
        const server = (runner.engine ?? runner.plain)!.server;
        const kind = runner.engine ? "engine" : "plain";
        switch (random.drawInt(3)) {
            case 0:
                await this.injectServerFault(kind, server);
                break;
            case 1:
                tally.count(`faults: ${kind} reclaim`);
                cluster.standIns.cloud.reclaim(runner.vm.id, this.drawNoticeMs());
                await this.replaceRunner(runner);
                break;
            default:
                tally.count(`faults: ${kind} death`);
                cluster.standIns.cloud.endVm(runner.vm.id);
                await this.replaceRunner(runner);
        }
        this.activeRunnerFaults -= 1;
    }

    private async breakNode(): Promise<void> {
        const { cluster, random, tally, minHealthyNodes } = this.options;
        if (cluster.nodes.length - this.activeNodeFaults <= minHealthyNodes || this.activeNodeFaults > 0) {
            return;
        }
        this.activeNodeFaults += 1;
        const node = cluster.nodes[random.drawInt(cluster.nodes.length)];
        switch (random.drawInt(4)) {
            case 0:
                tally.count("faults: node killed");
                await cluster.killNode(node);
                break;
            case 1:
                tally.count("faults: node frozen");
                node.process.sendSignal("SIGSTOP");
                await this.waitFaultDuration();
                node.process.sendSignal("SIGCONT");
                break;
            case 2:
                tally.count("faults: node reclaimed");
                cluster.standIns.cloud.reclaim(`vm-${node.nodeId}`, this.drawNoticeMs());
                while (!node.process.hasEnded) {
                    await pause(nodeReplacementDelayMs);
                }
                break;
            default:
                tally.count("faults: node stopped as planned");
                await cluster.stopNode(node);
        }
        if (node.process.hasEnded) {
            await pause(nodeReplacementDelayMs);
            await cluster.startNode();
        }
        this.activeNodeFaults -= 1;
    }

    private async replaceRunner(runner: StandInRunner): Promise<void> {
        await this.waitFaultDuration();
        await this.options.cluster.replaceRunner(runner);
    }

    private isGone(runner: StandInRunner): boolean {
        return !this.options.cluster.standIns.isLive(runner.vm.id);
    }

    private drawNoticeMs(): number {
        return minNoticeMs + this.options.random.drawInt(noticeRangeMs);
    }

    private waitFaultDuration(): Promise<void> {
        return pause(minFaultMs + this.options.random.drawInt(faultRangeMs));
    }
}
