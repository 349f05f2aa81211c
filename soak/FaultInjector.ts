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
    /** Fewest nodes that run without a fault at any time. */
    readonly minHealthyNodes: number;
}

const shortestFaultMs = 800;
const faultSpreadMs = 3_500;
const shortestNoticeMs = 1_500;
const noticeSpreadMs = 2_500;
const replacementMs = 500;

/** Brings about the failures of the brief, singly and in pairs. */
export class FaultInjector {
    private nodeFaults = 0;
    private runnerFaults = 0;

    constructor(private readonly options: FaultInjectorOptions) {}

    /** Makes one or two faults at once, holds them for a while and ends them. */
    async makeFaults(): Promise<void> {
        const count = 1 + this.options.random.drawInt(2);
        await Promise.all(Array.from({ length: count }, () => this.makeFault()));
    }

    private async makeFault(): Promise<void> {
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
        await this.switchFault(name, server);
    }

    private async switchFault(name: string, server: StandInServer): Promise<void> {
        const { random, tally } = this.options;
        const kinds: readonly Fault["kind"][] = ["outage", "delay", "lose-answers", "silent"];
        const kind = kinds[random.drawInt(kinds.length)];
        tally.count(`faults: ${name} ${kind}`);
        server.setFault({ kind, ms: 200 + random.drawInt(2_000) });
        await this.hold();
        server.setFault({ kind: "none" });
    }

    private async breakRunner(): Promise<void> {
        const { cluster, random, tally } = this.options;
        if (this.runnerFaults > 0) {
            return;
        }
        this.runnerFaults += 1;
        const runners = cluster.standIns.runners.filter(runner => !this.isGone(runner));
        const runner = runners[random.drawInt(runners.length)];
        const server = (runner.engine ?? runner.plain)!.server;
        const kind = runner.engine ? "engine" : "plain";
        switch (random.drawInt(3)) {
            case 0:
                await this.switchFault(kind, server);
                break;
            case 1:
                tally.count(`faults: ${kind} reclaim`);
                cluster.standIns.cloud.reclaim(runner.vm.id, this.drawNoticeMs());
                await this.replace(runner);
                break;
            default:
                tally.count(`faults: ${kind} death`);
                cluster.standIns.cloud.endVm(runner.vm.id);
                await this.replace(runner);
        }
        this.runnerFaults -= 1;
    }

    private async breakNode(): Promise<void> {
        const { cluster, random, tally, minHealthyNodes } = this.options;
        if (cluster.nodes.length - this.nodeFaults <= minHealthyNodes || this.nodeFaults > 0) {
            return;
        }
        this.nodeFaults += 1;
        const node = cluster.nodes[random.drawInt(cluster.nodes.length)];
        switch (random.drawInt(4)) {
            case 0:
                tally.count("faults: node killed");
                await cluster.killNode(node);
                break;
            case 1:
                tally.count("faults: node frozen");
                node.process.sendSignal("SIGSTOP");
                await this.hold();
                node.process.sendSignal("SIGCONT");
                break;
            case 2:
                tally.count("faults: node reclaimed");
                cluster.standIns.cloud.reclaim(`vm-${node.nodeId}`, this.drawNoticeMs());
                while (!node.process.hasEnded) {
                    await pause(replacementMs);
                }
                break;
            default:
                tally.count("faults: node stopped as planned");
                await cluster.stopNode(node);
        }
        if (node.process.hasEnded) {
            await pause(replacementMs);
            await cluster.startNode();
        }
        this.nodeFaults -= 1;
    }

    private async replace(runner: StandInRunner): Promise<void> {
        await this.hold();
        await this.options.cluster.replaceRunner(runner);
    }

    private isGone(runner: StandInRunner): boolean {
        return !this.options.cluster.standIns.isLive(runner.vm.id);
    }

    private drawNoticeMs(): number {
        return shortestNoticeMs + this.options.random.drawInt(noticeSpreadMs);
    }

    private hold(): Promise<void> {
        return pause(shortestFaultMs + this.options.random.drawInt(faultSpreadMs));
    }
}
