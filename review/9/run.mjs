/**
 * A node is stopped with SIGTERM, and gets the signal once more within its grace period, as two planned stops that overlap
 * send it.
 */
import { Agent } from "node:http";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { hasTrouble, runCase } from "../lib-2/case.mjs";
import { countResults, sendAttempt } from "../lib-2/clients.mjs";
import { createConfiguration } from "../lib-2/configuration.mjs";
import { bounds, Deployment, repository, sleep } from "../lib-2/deployment.mjs";

const require = createRequire(import.meta.url);
const { RunnerStandIn } = require(join(repository, "dist", "standins", "platform", "RunnerStandIn.js"));

const workMs = 2_000;
const requestCount = 40;
const heartbeatMs = 1_200;
const secondSignalAfterMs = 1_000;
const msPerSecond = 1_000;

const deployment = new Deployment();

await runCase(dirname(fileURLToPath(import.meta.url)), deployment, async record => {
    await deployment.start({ nodeCount: 2, configuration: createConfiguration() });
    const runner = new RunnerStandIn({ id: "app-1" });
    runner.workMs = workMs;
    await runner.server.start();
    const born = Date.now();
    let seq = 0;
    const beat = () => {
        seq += 1;
        const { address } = runner;
        const entry = { service: "app", address, zone: "zone-a", version: "1", slots: 64, state: "ready", seq, born };
        deployment.store.put("servers", "app-1", entry);
    };
    beat();
    setInterval(beat, heartbeatMs).unref();
    await sleep(1_000);
    const [node] = deployment.nodes;
    const agent = new Agent({ keepAlive: true });
    const attempts = Array.from({ length: requestCount }, () =>
        sendAttempt(node, { path: "/release/1", body: "x".repeat(600), deadlineMs: 5_000, agent }));
    await sleep(workMs / 4);
    const runsBefore = runner.runs.length;
    record.report(`${runsBefore} of ${requestCount} requests have been passed on to the runner`);
    node.signal("SIGTERM");
    record.add("SIGTERM");
    if (hasTrouble) {
        await sleep(secondSignalAfterMs);
        node.signal("SIGTERM");
        record.add("SIGTERM again");
    }
    const results = await Promise.all(attempts);
    await Promise.race([node.ended, sleep((bounds.graceS + 1) * msPerSecond)]);
    record.add(`the process ended: ${JSON.stringify(node.exits)}`);
    const runIds = new Set(runner.runs.map(({ requestId }) => requestId));
    for (const { id, status, error, isComplete } of results) {
        const run = runIds.has(id) ? "run" : "not run";
        record.add(`answer ${id}: ${status ?? error} ${isComplete ? "complete" : "broken off"}, ${run}`);
    }
    const lost = results.filter(({ id, isComplete }) => runIds.has(id) && !isComplete);
    record.report(`requests: ${countResults(results)}; exits: ${JSON.stringify(node.exits)}`);
    record.report(`requests that ran and have no complete answer: ${lost.length}`);
    await runner.server.stop();
    return lost.length === 0;
});
