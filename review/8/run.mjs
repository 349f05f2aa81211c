/**
 * A request crashes each model runner that runs it, one second after the first event of its stream. It comes again and
 * again, at any node, beside streams that are sound.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { hasTrouble, runCase } from "../lib-2/case.mjs";
import { countResults, sendAttempt } from "../lib-2/clients.mjs";
import { createConfiguration } from "../lib-2/configuration.mjs";
import { bounds, Deployment, sleep } from "../lib-2/deployment.mjs";
import { ModelRunner } from "../lib-2/ModelRunner.mjs";

const runnerCount = 6;
const crashAfterMs = Number(process.env.CRASH_AFTER_MS ?? 1_000); // from the head of the answer
const backAfterMs = 3_000;
const entryGoneAfterMs = 1_000;
const lengthMs = 40_000;
const soundEveryMs = 250;
const crashingEvery = 4; // each so many sound streams
const crashingBody = "the prompt that crashes runners";
const maxRetries = 3; // that the rule lets pass

const deployment = new Deployment();
const crashes = [];
const arrivals = [];
let runners = 0;

const startRunner = async record => {
    runners += 1;
    const runner = new ModelRunner({
        id: `r-${runners}`,
        version: "v1",
        store: deployment.store,
        events: 40,
        eventMs: 50,
        onArrival: ({ attemptId, body }) => {
            record.add(`run ${attemptId} at ${runner.options.id}`);
            if (body === crashingBody) {
                arrivals.push({ attemptId, atMs: record.nowMs });
            }
        },
        shouldCrash: (body, ranMs) => hasTrouble && body === crashingBody && ranMs >= crashAfterMs,
        onCrash: () => {
            runner.crash();
            crashes.push(record.nowMs);
            record.add(`${runner.options.id} crashes`);
            setTimeout(() => runner.removeEntry(), entryGoneAfterMs);
            setTimeout(() => void startRunner(record), backAfterMs);
        },
    });
    await runner.start();
};

await runCase(dirname(fileURLToPath(import.meta.url)), deployment, async record => {
    await deployment.start({ nodeCount: 3, configuration: createConfiguration() });
    for (let index = 0; index < runnerCount; index += 1) {
        await startRunner(record);
    }
    await sleep(1_000);
    const sound = [];
    const crashing = [];
    for (let index = 0; index * soundEveryMs < lengthMs; index += 1) {
        const node = deployment.nodes[index % deployment.nodes.length];
        const headers = { "x-sequoiagrade-prompt-prefix": `aa:119,${index.toString(16)}:500` };
        sound.push(sendAttempt(node, {
            path: "/summary/1",
            body: `sound prompt ${index}`,
            deadlineMs: 12_000,
            headers,
        }));
        if (index % crashingEvery === 0) {
            const other = deployment.nodes[index / crashingEvery % deployment.nodes.length];
            const path = "/diagnosis/1";
            crashing.push(sendAttempt(other, {
                path,
                body: crashingBody,
                deadlineMs: 15_000,
                headers: { "x-sequoiagrade-prompt-prefix": "bb:512,cc:6000" },
            }));
        }
        await sleep(soundEveryMs);
    }
    const results = await Promise.all(sound);
    const crashingResults = await Promise.all(crashing);
    for (const { id, status, error, isComplete } of [...results, ...crashingResults]) {
        record.add(`answer ${id}: ${status ?? error} ${isComplete ? "complete" : "broken off"}`);
    }
    const thirdMs = crashes[2] ?? Infinity;
    const late = arrivals.filter(({ atMs }) => atMs > thirdMs + bounds.contactMs);
    record.report(`crashes: ${crashes.length}; the third after ${thirdMs} ms`);
    record.report(`sound streams: ${countResults(results)}`);
    record.report(`the crashing request: ${countResults(crashingResults)}`);
    record.report(
        `it reached runners ${late.length} times later than ${bounds.contactMs} ms after the third crash; `
            + `the rule allows ${maxRetries}`,
    );
    return late.length <= maxRetries;
});
