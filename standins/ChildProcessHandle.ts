import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

/** Child process of a benchmark or soak run that prints one line of JSON when it is ready, such as a node. */
export class ChildProcessHandle<T> {
    private constructor(private readonly child: ChildProcess, readonly readyMessage: T) {}

    /**
     * Starts a process and waits for the first line of its standard output, which is parsed as JSON.
     *
     * @param script - path of the JavaScript file to run
     * @param args - arguments of the script
     * @param nodeArgs - arguments of Node.js, such as `--cpu-prof`
     * @param onErrorLine - called with each line of the standard error output; prints it by default
     * @returns the running process
     * @throws Error when the process exits before it prints a line
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
            child.once(
                "exit",
                code => reject(new Error(`${script} exited with code ${code} before it was ready`)),
            );
        });
        return new ChildProcessHandle<T>(child, JSON.parse(line) as T);
    }

    /** Process ID. */
    get pid(): number {
        return this.child.pid!;
    }

    /** Whether the process has exited or was killed. */
    get hasEnded(): boolean {
        return this.child.exitCode !== null || this.child.signalCode !== null;
    }

    /** Sends a signal, such as SIGSTOP to suspend the process or SIGCONT to resume it. */
    sendSignal(name: "SIGSTOP" | "SIGCONT" | "SIGTERM" | "SIGKILL"): void {
        this.child.kill(name);
    }

    /** Ends the process and waits for its exit; `SIGTERM` requests a graceful shutdown, which also writes a profile. */
    async stop(signal: "SIGKILL" | "SIGTERM" = "SIGKILL"): Promise<void> {
        if (this.hasEnded) {
            return;
        }
        const ended = new Promise<void>(resolve => this.child.once("exit", () => resolve()));
        this.child.kill(signal);
        await ended;
    }
}
