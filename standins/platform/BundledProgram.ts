import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import { ChildProcessHandle } from "../ChildProcessHandle";
import { findFreeAddresses } from "./findFreeAddresses";

/** A running process of the program. */
export interface ProgramProcess {
    readonly child: ChildProcessHandle<unknown>;
    /** Host and port for callers. */
    readonly callersAddress: string;
    /** Host and port of the ready check. */
    readonly readyAddress: string;
    /** Host and port of the directory. */
    readonly directoryAddress: string;
    /** Host and port of the metrics. */
    readonly metricsAddress: string;
}

/** Name of the node that a process of the program is. */
export const programNodeId = "node-of-its-own";

const repository = join(__dirname, "..", "..");
const portCount = 4;
const firstHost = 2; // last part of the address of the first process
const metricsPort = 9_464; // as deployments have it

/** The program, bundled from the present sources into a temporary folder. */
export class BundledProgram {
    private constructor(private readonly folder: string, private readonly script: string) {}

    /** Bundles the program. */
    static async create(): Promise<BundledProgram> {
        const folder = mkdtempSync(join(tmpdir(), "program-"));
        const script = join(folder, "sequoiagrade.js");
        await promisify(execFile)("npm", ["run", "--silent", "bundle", "--", `--outfile=${script}`], {
            cwd: repository,
        });
        return new BundledProgram(folder, script);
    }

    /**
     * Starts a process on a loopback address of its own, since its port for metrics is fixed.
     *
     * @param storeAddress - host and port of the platform's store
     * @param settings - further fields of the platform's settings
     * @param nodeArgs - arguments of Node.js; default: none
     * @param index - number of the process among those that run at the same time; default 0
     * @returns the process
     */
    async start(
        storeAddress: string,
        settings: object = {},
        nodeArgs: readonly string[] = [],
        index = 0,
    ): Promise<ProgramProcess> {
        const ports = (await findFreeAddresses(portCount)).map(address => address.split(":")[1]);
        const ip = `127.${1 + process.pid % 250}.${1 + Math.floor(process.pid / 250) % 250}.${
            firstHost + index
        }`;
        const [front, ready, directory] = ports.map(port => `${ip}:${port}`);
        const file = join(this.folder, `settings-${index}.json`);
        const fields = {
            node: index === 0 ? programNodeId : `${programNodeId}-${index}`,
            ip,
            zone: "zone-a",
            listen: { front, ready, directory },
            portRange: [Number(ports[3]), Number(ports[3])],
            platform: { address: storeAddress },
            ...settings,
        };
        writeFileSync(file, JSON.stringify(fields));
        const child = await ChildProcessHandle.start<unknown>(this.script, ["serve", file], nodeArgs);
        return {
            child,
            callersAddress: front,
            readyAddress: ready,
            directoryAddress: directory,
            metricsAddress: `${ip}:${metricsPort}`,
        };
    }

    /** Removes the temporary folder. */
    remove(): void {
        rmSync(this.folder, { recursive: true });
    }
}
