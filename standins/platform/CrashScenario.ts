import { pause } from "../pause";
import type { RunnerRun } from "./RunnerStandIn";
import type { ServingTestbed, TestNode, TestResponse } from "./ServingTestbed";

/** Options of {@link CrashScenario}. */
export interface CrashScenarioOptions {
    readonly testbed: ServingTestbed;
    /** Number of crashes after which few requests that crash upstreams may still arrive. */
    readonly crashesUntilBound: number;
    /** Whether a request is one of those that crash upstreams. */
    readonly isCrashing: (run: RunnerRun) => boolean;
}

/** Sends one request to a node. */
export type SendRequest = (node: TestNode) => Promise<TestResponse>;

/** Interval between requests, in milliseconds. */
export const crashScenarioIntervalMs = 60;
/** Time from the last crash before the bound until the bound holds, in milliseconds. */
export const crashContactMs = 3_000;
const timeLimitMs = 10_000;

/** Requests that crash the upstreams of a testbed, with sound ones beside. */
export class CrashScenario {
    constructor(private readonly options: CrashScenarioOptions) {}

    /** Lists the requests that crash upstreams, as they arrived. */
    listArrived(): RunnerRun[] {
        const { testbed, isCrashing } = this.options;
        return testbed.runners.flatMap(runner => runner.runs).filter(run => isCrashing(run));
    }

    /** Counts those that arrived after the bound holds. */
    countLate(): number {
        const { testbed, crashesUntilBound } = this.options;
        const boundMs = testbed.crashedAtMs[crashesUntilBound - 1] + crashContactMs;
        return this.listArrived().filter(run => run.atMs > boundMs).length;
    }

    /**
     * Sends a request that crashes upstreams and a sound one at an interval, to the nodes in turn, until the bound has
     * held for a time, or for 10 s.
     *
     * @param nodes - the nodes
     * @param heldMs - time for which the bound has held at the end, in milliseconds
     * @param sendCrashing - sends a request that crashes upstreams
     * @param sendSound - sends a sound one
     * @returns the answers to the sound ones
     */
    async sendBoth(
        nodes: readonly TestNode[],
        heldMs: number,
        sendCrashing: SendRequest,
        sendSound: SendRequest,
    ): Promise<TestResponse[]> {
        const crashing: Promise<unknown>[] = [];
        const sound: Promise<TestResponse>[] = [];
        const endMs = performance.now() + timeLimitMs;
        for (let index = 0; !this.hasHeldFor(heldMs) && performance.now() < endMs; index += 1) {
            const node = nodes[index % nodes.length];
            crashing.push(sendCrashing(node));
            sound.push(sendSound(node));
            await pause(crashScenarioIntervalMs);
        }
        await Promise.all(crashing);
        return Promise.all(sound);
    }

    private hasHeldFor(heldMs: number): boolean {
        const { testbed, crashesUntilBound } = this.options;
        const lastCrashMs = testbed.crashedAtMs[crashesUntilBound - 1];
        return lastCrashMs !== undefined && performance.now() > lastCrashMs + crashContactMs + heldMs;
    }
}
