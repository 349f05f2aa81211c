import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

/** A process for benches and soak runs: a node or stand-ins. It prints one JSON line when it is ready. */
export class ChildProcessHandle<T> {
    private constructor(private readonly child: ChildProcess, readonly readyMessage: T) {}

    /**
     * Starts a process and waits for its first line.
     *
     * @param script - JavaScript file
     * @param args - its arguments
     * @param nodeArgs - arguments of the runtime, such as those that write a profile
     * @param onErrorLine - receives each line of the error output
     * @returns the running process
     */
    static async start<T>(
        script: string,
        args: readonly string[],
        nodeArgs: readonly string[] = [],
        onErrorLine: (line: string) => void = line => process.stderr.write(`${line}\n`),
    ): Promise<ChildProcessHandle<T>> {
        const child = spawn(process.execPath, [...nodeArgs, script, ...args], {
            stdio: ["ignore", "pipe", "pipe"],
        });
        const lines = createInterface({ input: child.stdout! });
        createInterface({ input: child.stderr! }).on("line", onErrorLine);
        const line = await new Promise<string>((resolve, reject) => {
            lines.once("line", resolve);
            child.once("exit", code => reject(new Error(`${script} ended with code ${code}`)));
        });
        return new ChildProcessHandle<T>(child, JSON.parse(line) as T);
    }

    /** Process number. */
    get pid(): number {
        return this.child.pid!;
    }

    /** Whether the process has ended. */
    get hasEnded(): boolean {
        return this.child.exitCode !== null || this.child.signalCode !== null;
    }

    /** Sends a signal, such as SIGSTOP to freeze the process and SIGCONT to let it go on. */
    sendSignal(name: "SIGSTOP" | "SIGCONT" | "SIGTERM" | "SIGKILL"): void {
        this.child.kill(name);
    }

    /** Ends the process; `SIGTERM` is a planned stop and lets it write its profile. */
    async stop(signal: "SIGKILL" | "SIGTERM" = "SIGKILL"): Promise<void> {
        if (this.hasEnded) {
            return;
        }
        const ended = new Promise<void>(resolve => this.child.once("exit", () => resolve()));
        this.child.kill(signal);
        await ended;
    }
}
