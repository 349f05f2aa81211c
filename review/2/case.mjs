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

const keptClients = 8;
const workMs = 9_000;
const maxLost = 3; // LOST breaks with more

/** Answers after some seconds, as a long request does. */
const answerLate = async ({ response, headers }) => {
    await pause(workMs);
    response.writeHead(200, headers).end("released");
};

let endlessSocket;

/** Writes a body without end, a few bytes a chunk, until the caller closes. */
const answerEndlessly = ({ response, headers }) => {
    response.writeHead(200, { ...headers, "content-type": "application/json" });
    const piece = "4\r\njunk\r\n".repeat(5_000);
    const { socket } = response;
    response.flushHeaders();
    endlessSocket = socket;
    const write = () => {
        while (!socket.destroyed && socket.write(piece)) {
            // until the connection is full
        }
    };
    socket.on("drain", write);
    setTimeout(write, 10);
};

const answer = ({ response, headers }) => {
    response.writeHead(200, headers).end("{}");
};

await runCase(import.meta.url, async () => {
    const platform = await startPlatform();
    platform.store.put("op", "config", createConfiguration(1));
    const app = new Runner({ id: "i-app", service: "app", handle: answerLate });
    const llm = new Runner({ id: "i-llm", service: "llm", handle: hasTrouble ? answerEndlessly : answer });
    for (const runner of [app, llm]) {
        await runner.start();
        runner.register(platform.store);
    }
    const node = await createNode("edge-a-1", platform);
    node.start();
    await node.waitUntilReady();
    await pause(500);
    const kept = Array.from(
        { length: keptClients },
        () => send(node, { path: "/release/1", agent: createKeptConnection() }),
    );
    await waitUntil("the releases run", () => app.runs.length === keptClients);
    const asked = send(node, {
        path: "/summary/1",
        headers: { "x-sequoiagrade-prompt-prefix": "a1:100,b2:50" },
    });
    const outcomes = await Promise.all(kept);
    await asked;
    const lost = outcomes.filter(outcome => outcome.status === undefined).length;
    record(`${lost} of ${keptClients} requests that a sound runner ran were closed without an answer`);
    record(`bytes of the answer without end that were written: ${endlessSocket?.bytesWritten}`);
    record(`last lines of the node's output: ${node.log.slice(-1500)}`);
    return lost <= maxLost && node.exits.length === 0;
});
