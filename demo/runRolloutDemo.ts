import type { RunnerStandIn } from "../standins/platform/RunnerStandIn";
import { ServingTestbed, type TestNode, type TestResponse } from "../standins/platform/ServingTestbed";
import type { DemoChecks } from "./DemoChecks";

const nodeCount = 2;
const durationS = 12;
const waitMs = 16_000;
const intervalMs = 8;
const paths = ["/read/", "/plain/"];
const exposure = { share: 0.1, slack: 50 };
const service = "app";

/** What callers and upstreams have seen of a roll-out. */
interface PlayedRollout {
    readonly state: string | undefined;
    readonly reason: string | undefined;
    readonly answers: readonly TestResponse[];
    readonly exposed: number;
    readonly all: number;
}

/**
 * Demonstrates a roll-out of a good version and one of a bad version, each on nodes of its own under steady load.
 *
 * @param checks - receives the outcome of each check
 */
export const runRolloutDemo = async (checks: DemoChecks): Promise<void> => {
    const [good, bad] = await Promise.all([runRollout(false), runRollout(true)]);
    const failed = good.answers.filter(({ status }) => status !== 200).length;
    checks.record(
        "a good version gets the traffic, and no request is lost",
        good.state === "completed" && failed === 0,
        `${good.state}, ${failed} of ${good.answers.length} requests failed; ${good.reason}`,
    );
    checks.record(
        "a bad version is rolled back within its share of the requests",
        bad.state === "rolled_back" && bad.exposed <= bad.all * exposure.share + exposure.slack,
        `${bad.state}, ${bad.exposed} of ${bad.all} requests; ${bad.reason}`,
    );
};

const runRollout = async (isBad: boolean): Promise<PlayedRollout> => {
    const testbed = new ServingTestbed();
    await testbed.start();
    try {
        const old = await addRunners(testbed, "v1");
        const nodes: TestNode[] = [];
        for (let index = 0; index < nodeCount; index += 1) {
            nodes.push(await testbed.addNode());
        }
        testbed.store.put("op", `rollout/${service}`, { service, to: "v2", durationS });
        const candidates = await addRunners(testbed, "v2");
        candidates.forEach(runner => runner.decideBehaviour = () => isBad ? "fail" : undefined);
        const answers = await sendUntilEnd(testbed, nodes);
        const { state, reason } = readStatus(testbed) ?? {};
        const exposed = countArrivals(candidates);
        return { state, reason, answers, exposed, all: exposed + countArrivals(old) };
    }
    finally {
        await testbed.stop();
    }
};

const addRunners = async (testbed: ServingTestbed, version: string): Promise<RunnerStandIn[]> => [
    await testbed.addRunner(service, { id: `${version}-1`, softwareVersion: version }),
    await testbed.addRunner(service, { id: `${version}-2`, softwareVersion: version }),
];

/** Sends requests to the nodes in turn until the roll-out has ended. */
const sendUntilEnd = async (testbed: ServingTestbed, nodes: readonly TestNode[]): Promise<TestResponse[]> => {
    const calls: Promise<TestResponse>[] = [];
    const endMs = performance.now() + waitMs;
    while (["running", undefined].includes(readStatus(testbed)?.state) && performance.now() < endMs) {
        const path = paths[calls.length % paths.length];
        calls.push(testbed.call(nodes[calls.length % nodes.length], { path, method: "POST", body: "b" }));
        await new Promise(resolve => setTimeout(resolve, intervalMs));
    }
    return Promise.all(calls);
};

const readStatus = (
    testbed: ServingTestbed,
): { readonly state: string; readonly reason: string; } | undefined =>
    testbed.store.readValue("status", `rollout/${service}`) as ReturnType<typeof readStatus>;

const countArrivals = (runners: readonly RunnerStandIn[]): number =>
    runners.reduce((sum, runner) => sum + runner.arrivals.length, 0);
