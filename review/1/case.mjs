import {
    createConfiguration,
    createKeptConnection,
    createNode,
    hasTrouble,
    pause,
    record,
    runCase,
    Runner,
    send,
    startPlatform,
    waitUntil,
} from "../lib/harness.mjs";

const nodeCount = 2;
const clientsPerNode = 6;
const workMs = 7_000;
const restartMs = 500;
const maxLost = 3; // LOST breaks with more

const answerLate = async ({ response, headers }) => {
    await pause(workMs);
    response.writeHead(200, headers).end("released");
};

/** Starts a process that ended again after a short delay, as the platform does. */
const keepRunning = node => {
    node.child.on("exit", async () => {
        await pause(restartMs);
        if (node.exits.length < 4) {
            node.start();
            keepRunning(node);
        }
    });
};

await runCase(import.meta.url, async () => {
    const platform = await startPlatform();
    const { store } = platform;
    store.put("op", "config", createConfiguration(1));
    const runners = ["i-app-1", "i-app-2"].map(id => new Runner({ id, service: "app", handle: answerLate }));
    for (const runner of runners) {
        await runner.start();
        runner.register(store);
    }
    const nodes = await Promise.all(
        ["edge-a-1", "edge-b-1"].slice(0, nodeCount).map(name => createNode(name, platform)),
    );
    nodes.forEach(node => node.start());
    await Promise.all(nodes.map(node => node.waitUntilReady()));
    nodes.forEach(keepRunning);
    await pause(2_000);
    const [leaving, staying] = runners;
    if (hasTrouble) {
        record("another writer stores an entry whose address has no valid port");
        store.put("servers", "i-other", { ...staying.entry, address: "127.0.0.1:99999", seq: 7 });
    }
    await pause(3_000);
    const kept = nodes.flatMap(node =>
        Array.from(
            { length: clientsPerNode },
            () => send(node, { path: "/release/1", agent: createKeptConnection() }),
        )
    );
    const isRun = () => runners.reduce((sum, runner) => sum + runner.runs.length, 0) === kept.length;
    await waitUntil("the releases run", isRun);
    record(`the entry of runner ${leaving.id}, which never reports that it drains, is removed`);
    store.put("servers", leaving.id, undefined);
    const outcomes = await Promise.all(kept);
    const lost = outcomes.filter(({ status }) => status === undefined).length;
    await pause(4_000);
    const ends = nodes.map(node => node.exits.length);
    const ready = await Promise.all(nodes.map(node => node.isReady()));
    record(
        `${lost} of ${kept.length} requests were closed without an answer while their runner worked on them`,
    );
    record(`processes that ended by themselves, by node: ${ends}; ready at the end: ${ready}`);
    nodes.forEach(node => record(`last output of ${node.name}: ${node.log.slice(-700)}`));
    return lost <= maxLost;
});
