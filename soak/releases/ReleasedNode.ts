import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { ChildProcessHandle } from "../../standins/ChildProcessHandle";
import { findFreeAddresses } from "../../standins/platform/findFreeAddresses";
import { HoldingLink } from "../../standins/platform/HoldingLink";

/** Options of {@link ReleasedNode}. */
export interface ReleasedNodeOptions {
    readonly nodeId: string;
    /** Number of the node, which becomes part of its loopback address. */
    readonly index: number;
    /** Folder for the settings file. */
    readonly folder: string;
    /** Host and port of the store. */
    readonly store: string;
    /** Host and port of the cloud API. */
    readonly cloud: string;
    /** Bounds of the settings file, as the platform names them. */
    readonly bounds: Readonly<Record<string, unknown>>;
}

const restartMs = 300;

/** Formats a loopback address that no other run uses, as the port of the metrics is the same for all nodes. */
const formatLoopbackAddress = (index: number): string =>
    `127.${1 + Math.floor(process.pid / 256) % 250}.${process.pid % 256}.${index + 1}`;

/** Node that runs as a process of one of several builds, with links to the store and the cloud that can be held up. */
export class ReleasedNode {
    /** Monotonic times at which the process was thawed or a link healed, in milliseconds. */
    readonly recoveredAtMs: number[] = [];
    /** Path of the program that runs. */
    program = "";
    /** Host and port for callers; available once the node has started. */
    callersAddress = "";
    private readonly store: HoldingLink;
    private readonly cloud: HoldingLink;
    private child: ChildProcessHandle<unknown> | undefined;
    private settingsFile = "";

    constructor(private readonly options: ReleasedNodeOptions) {
        this.store = new HoldingLink(options.store);
        this.cloud = new HoldingLink(options.cloud);
    }

    get nodeId(): string {
        return this.options.nodeId;
    }

    /** Starts the links, and a process of a program. */
    async start(program: string): Promise<void> {
        await this.store.start();
        await this.cloud.start();
        await this.writeSettings();
        await this.startProcess(program);
    }

    /** Ends the process by a signal, and starts one of another program. */
    async replace(signal: "SIGTERM" | "SIGKILL", program: string): Promise<void> {
        await this.child!.stop(signal);
        await new Promise(resolve => setTimeout(resolve, restartMs));
        await this.startProcess(program);
    }

    pause(): void {
        this.child!.sendSignal("SIGSTOP");
    }

    holdStore(): void {
        this.store.hold();
    }

    holdCloud(): void {
        this.cloud.hold();
    }

    /** Ends all that ails the node and its links. */
    recover(): void {
        this.recoveredAtMs.push(performance.now());
        this.child?.sendSignal("SIGCONT");
        this.store.release();
        this.cloud.release();
    }

    async stop(): Promise<void> {
        await this.child?.stop();
        await this.store.stop();
        await this.cloud.stop();
    }

    private async startProcess(program: string): Promise<void> {
        this.program = program;
        this.child = await ChildProcessHandle.start(program, ["serve", this.settingsFile], [], () => {});
    }

    private async writeSettings(): Promise<void> {
        const { nodeId, index, folder, bounds } = this.options;
        const ports = (await findFreeAddresses(4)).map(address => address.split(":")[1]);
        const ip = formatLoopbackAddress(index);
        const [front, ready, directory, peers] = ports.map(port => `${ip}:${port}`);
        this.callersAddress = front;
        this.settingsFile = join(folder, `${nodeId}.json`);
        writeFileSync(
            this.settingsFile,
            JSON.stringify({
                node: nodeId,
                ip,
                zone: "zone-a",
                listen: { front, ready, directory },
                portRange: [Number(peers.split(":")[1]), Number(peers.split(":")[1])],
                platform: { address: this.store.address },
                cloudApi: { address: this.cloud.address },
                bounds,
            }),
        );
    }
}
