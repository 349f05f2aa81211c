import loglevel, { type Logger } from "loglevel";
import { hashText } from "../src/_lib/hashText";
import { createHttpPlatform } from "../src/daemon/createHttpPlatform";
import { EntryNode } from "../src/daemon/EntryNode";
import type { Clock, RandomSource } from "../src/kernel/types";
import { SeededRandom } from "../src/kernel/SeededRandom";
import { SystemClock } from "../src/kernel/SystemClock";
import { parseSettings } from "../src/settings/parseSettings";
import type { Settings } from "../src/settings/settingsSchema";
import { StandInCluster, type StandInClusterOptions } from "./StandInCluster";

/** Identity of a node to start. */
export interface LocalNode {
    readonly nodeId: string;
    readonly dataCentre: string;
}

/** A client account and its API key. */
export interface LocalAccount {
    readonly id: string;
    readonly key: string;
}

/** A service of the initial configuration, in the form of the declaration. */
export interface LocalService {
    readonly name: string;
    readonly [field: string]: unknown;
}

/** Options of {@link LocalCluster}. */
export interface LocalClusterOptions {
    readonly nodes: readonly LocalNode[];
    readonly standIns: StandInClusterOptions;
    readonly accounts: readonly LocalAccount[];
    /** Work classes of the initial configuration, in the form of the declaration. */
    readonly classes: readonly unknown[];
    readonly services: readonly LocalService[];
    readonly timing?: Partial<Settings["timing"]>;
    readonly limits?: Partial<Settings["limits"]>;
    /** Whether the nodes scale the number of upstream VMs; default false. */
    readonly fleet?: boolean;
    readonly seed?: number;
    readonly onBrokenInvariant?: (name: string, detail: string) => void;
    /** Log level of the nodes; default `silent`. */
    readonly logLevel?: "silent" | "info" | "debug";
}

const clusterKey = "local-cluster-key-0123456789";
const conditionPollMs = 20;
const conditionTimeoutMs = 10_000;

/** Stand-ins and nodes in one process, for the demo and for tests. */
export class LocalCluster {
    readonly operatorToken = "operator-token-for-local-use";
    readonly clock: Clock = new SystemClock();
    readonly standIns: StandInCluster;
    readonly nodes: EntryNode[] = [];
    readonly brokenInvariants: string[] = [];
    private readonly random: RandomSource;

    constructor(private readonly options: LocalClusterOptions) {
        this.standIns = new StandInCluster(options.standIns);
        this.random = new SeededRandom(options.seed ?? 1);
        this.standIns.onEntryVmEnd = nodeId => void this.killNode(nodeId);
    }

    /**
     * Starts the stand-ins and nodes, waits until all nodes are connected to each other, applies the initial
     * configuration and waits until every node knows all runners.
     */
    async start(): Promise<void> {
        await this.standIns.start();
        for (const node of this.options.nodes) {
            await this.startNode(node);
        }
        await this.waitUntil(
            () => this.nodes.every(node => this.isConnected(node)),
            "all nodes are connected",
        );
        const applied = await this.applyConfiguration(this.createDeclaration(), 0, "first");
        if (applied.status !== 200) {
            throw new Error(`the initial configuration was refused: ${JSON.stringify(applied.body)}`);
        }
        await this.waitUntil(
            () => this.nodes.every(node => this.countRunners(node) === this.standIns.runners.length),
            "all nodes know all runners",
        );
    }

    /** Kills all nodes and stops the stand-ins. */
    async stop(): Promise<void> {
        await Promise.all(this.nodes.map(node => node.kill().catch(() => {})));
        await this.standIns.stop();
    }

    /** Starts a node and adds its VM to the cloud's list. */
    async startNode(options: LocalNode): Promise<EntryNode> {
        const settings = this.createSettings(options);
        const node = new EntryNode({
            settings,
            platform: createHttpPlatform(settings),
            clock: this.clock,
            random: new SeededRandom(this.random.drawInt(0x7fffffff)),
            logger: this.createLogger(options.nodeId),
            onBrokenInvariant: (name, detail) => {
                this.brokenInvariants.push(`${options.nodeId}: ${name}: ${detail}`);
                this.options.onBrokenInvariant?.(name, detail);
            },
        });
        await node.start();
        this.nodes.push(node);
        this.standIns.addEntry(options.nodeId, options.dataCentre, node.peersUrl);
        return node;
    }

    /** Ends a node without a graceful shutdown; does nothing for an unknown node. */
    async killNode(nodeId: string): Promise<void> {
        const node = this.nodes.find(candidate => candidate.nodeId === nodeId);
        if (node) {
            this.removeNode(node);
            await node.kill();
        }
    }

    /** Shuts a node down gracefully and ends its VM. */
    async stopNode(nodeId: string): Promise<void> {
        const node = this.nodes.find(candidate => candidate.nodeId === nodeId)!;
        await node.stop();
        this.removeNode(node);
        this.standIns.cloud.endVm(`vm-${nodeId}`);
    }

    /** Applies a configuration through the operators' API of a node, by default the first node. */
    async applyConfiguration(
        declaration: unknown,
        expectRevision: number,
        changeId: string,
        node: EntryNode = this.nodes[0],
    ): Promise<
        { status: number; body: { revision?: number; inForce?: string[]; error?: { name: string; }; }; }
    > {
        const answer = await fetch(`${node.callersUrl}/v1/operators/configuration`, {
            method: "POST",
            headers: { authorization: `Bearer ${this.operatorToken}` },
            body: JSON.stringify({ expectRevision, changeId, declaration }),
        });
        return {
            status: answer.status,
            body: await answer.json() as { revision: number; inForce: string[]; },
        };
    }

    /** Creates the declaration of the initial configuration. */
    createDeclaration(): { classes: unknown[]; services: unknown[]; clientAccounts: unknown[]; } {
        const services = this.options.services.map(service => service.name);
        return {
            classes: [...this.options.classes],
            services: [...this.options.services],
            clientAccounts: this.options.accounts.map(account => ({
                id: account.id,
                keyHashes: [hashText(account.key)],
                services,
            })),
        };
    }

    /**
     * Waits until a condition holds.
     *
     * @param condition - is polled every 20 ms
     * @param description - names the condition in the error
     * @throws Error when the condition does not hold within 10 s
     */
    async waitUntil(condition: () => boolean | Promise<boolean>, description: string): Promise<void> {
        const deadlineMs = this.clock.readMonotonicMs() + conditionTimeoutMs;
        while (!await condition()) {
            if (this.clock.readMonotonicMs() > deadlineMs) {
                throw new Error(`timed out waiting until ${description}`);
            }
            await this.clock.sleep(conditionPollMs);
        }
    }

    private removeNode(node: EntryNode): void {
        const index = this.nodes.indexOf(node);
        if (index >= 0) {
            this.nodes.splice(index, 1);
        }
    }

    private isConnected(node: EntryNode): boolean {
        return node.countLinkedMembers() >= this.nodes.length - 1 && node.countMembers() >= this.nodes.length;
    }

    private countRunners(node: EntryNode): number {
        return this.options.services.reduce((sum, service) => sum + node.countRunners(service.name), 0);
    }

    private createLogger(nodeId: string): Logger {
        const logger = loglevel.getLogger(`node-${nodeId}`);
        logger.setLevel(this.options.logLevel ?? "silent", false);
        return logger;
    }

    private createSettings({ nodeId, dataCentre }: LocalNode): Settings {
        return parseSettings(JSON.stringify({
            nodeId,
            region: "local",
            dataCentre,
            callers: { host: "127.0.0.1", port: 0 },
            peers: { host: "127.0.0.1", port: 0 },
            clusterKey,
            operatorTokenHashes: [hashText(this.operatorToken)],
            platform: {
                tables: this.standIns.tables.server.url,
                objects: this.standIns.objects.server.url,
                cloud: this.standIns.cloud.server.url,
            },
            fleet: { enabled: this.options.fleet ?? false },
            timing: this.options.timing ?? {},
            limits: this.options.limits ?? {},
        })).unsafeCoerce();
    }
}
