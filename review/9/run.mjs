/**
 * Runners of two software versions serve side by side. All nodes are killed at once and start again. Clients take their broken
 * streams up again once the nodes are in touch, while all runners serve on. Without the disruption, the clients' connections
 * break, and the nodes run on.
 */
import { setMaxListeners } from "node:events";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { hasTrouble, runCase } from "../lib-2/case.mjs";
import { countResults, sendAttempt } from "../lib-2/clients.mjs";
import { createConfiguration } from "../lib-2/configuration.mjs";
import { bounds, Deployment, sleep } from "../lib-2/deployment.mjs";
import { ModelRunner } from "../lib-2/ModelRunner.mjs";

const versions = ["v1", "v1", "v1", "v2", "v2", "v2"];
const events = 80;
const eventMs = 100;
const streamCount = 60;
const beginEveryMs = 40;
const minBegunEvents = 5;
const downMs = 1_000;
const inTouchMarginMs = 500;
const newStreamCount = 40;
const minTakenUp = 12; // from which on the rule holds
const deadlineMs = 15_000;

const deployment = new Deployment();

/** Sends a stream's first attempt, or one that takes it up with the time that is left, to one of the nodes. */
const openStream = (index, headers, { signal, spentMs = 0 } = {}) =>
    sendAttempt(deployment.nodes[index % deployment.nodes.length], {
        path: `/diagnosis/${index}`,
        body: `prompt ${index}`,
        deadlineMs: deadlineMs - spentMs,
        headers,
        signal,
    });

const readEvents = (body = "") =>
    [...body.matchAll(/id: (\d+)\ndata: token \d+ of (v\d)\n\n/g)].map(([, id, version]) => ({
        id: Number(id),
        version,
    }));

const isBegun = ({ status, body }) => status === 200 && readEvents(body).length > 0;

await runCase(dirname(fileURLToPath(import.meta.url)), deployment, async record => {
    await deployment.start({ nodeCount: 3, configuration: createConfiguration() });
    for (const [index, version] of versions.entries()) {
        const { store } = deployment;
        const runner = new ModelRunner({ id: `r-${index + 1}`, version, store, events, eventMs });
        await runner.start();
    }
    await sleep(2_000);
    const first = [];
    const firstSentMs = record.nowMs;
    const connections = new AbortController();
    setMaxListeners(0, connections.signal);
    for (let index = 0; index < streamCount; index += 1) {
        first.push(openStream(index, {}, { signal: connections.signal }));
        await sleep(beginEveryMs);
    }
    await sleep(minBegunEvents * eventMs);
    if (hasTrouble) {
        await Promise.all(deployment.nodes.map(node => node.kill()));
        record.report("all nodes are killed");
    }
    else {
        connections.abort();
        record.report("the clients' connections break; the nodes run on");
    }
    await sleep(downMs);
    if (hasTrouble) {
        deployment.nodes.forEach(node => node.start());
    }
    await deployment.waitUntilReady();
    await sleep(bounds.contactMs + inTouchMarginMs);
    record.add("all nodes are in touch");
    const broken = (await Promise.all(first)).flatMap((result, index) => {
        const received = readEvents(result.body);
        const isBroken = result.status === 200 && !result.isComplete && received.length > 0;
        return isBroken ? [{ ...result, index, last: received.at(-1) }] : [];
    });
    record.report(`streams that are broken off: ${broken.length} of ${streamCount}`);
    const spentMs = record.nowMs - firstSentMs;
    const [takenUp, begun] = await Promise.all([
        Promise.all(
            broken.map(({ id, index, last }) =>
                openStream(index, { "last-event-id": String(last.id), "resumes": id }, { spentMs })
            ),
        ),
        Promise.all(Array.from({ length: newStreamCount }, (_, index) => openStream(streamCount + index))),
    ]);
    takenUp.forEach((result, position) => {
        const { id, last } = broken[position];
        const wentOn = readEvents(result.body).map(({ version }) => version).at(0) ?? "nothing";
        const from = `stream ${id} of ${last.version} after event ${last.id}`;
        record.add(`${from}, taken up by ${result.id}: ${result.status ?? result.error}, ${wentOn}`);
    });
    const goneOn = takenUp.filter(isBegun).length / Math.max(1, takenUp.length);
    const newBegun = begun.filter(isBegun).length / newStreamCount;
    record.report(`taken up: ${countResults(takenUp)}; new: ${countResults(begun)}`);
    record.report(
        `share that goes on: ${goneOn.toFixed(2)}; half of the share of new ones that begin: ${newBegun / 2}`,
    );
    return takenUp.length < minTakenUp || goneOn >= newBegun / 2;
});
