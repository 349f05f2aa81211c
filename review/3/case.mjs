import { readFileSync } from "node:fs";
import { connect } from "node:net";
import {
    createConfiguration,
    createNode,
    hasTrouble,
    pause,
    record,
    runCase,
    send,
    startChild,
    startPlatform,
    waitUntil,
} from "../lib/harness.mjs";

const streams = 4;
const fillers = 8;
const tries = 5;
const relayPauseMs = 900; // the node logs by which way it reaches the runner a moment later
const synSent = "02";

/** Whether some process here is waiting for the first answer to a connection that it opens to a port. */
const isDialled = port => {
    const hexPort = port.toString(16).toUpperCase().padStart(4, "0");
    return readFileSync("/proc/net/tcp", "utf8").split("\n").some(line => {
        const [, , remote, state] = line.trim().split(/\s+/);
        return state === synSent && remote?.endsWith(`:${hexPort}`);
    });
};

const openFiller = (host, port) => {
    const socket = connect({ host, port });
    socket.on("error", () => {});
    return socket;
};

/**
 * Lets the node's own connection to the runner hang, as in a partition: the stopped runner's queue of connections is
 * full, so that the opening packet is dropped. The runner goes on before the other node dials it.
 */
const partition = async (node, runner, call) => {
    const [host, port] = runner.address.split(":");
    runner.child.kill("SIGSTOP");
    const sockets = Array.from({ length: fillers }, () => openFiller(host, Number(port)));
    await pause(50);
    sockets.filter(socket => socket.connecting).forEach(socket => socket.destroy());
    const sent = send(node, call);
    const isHanging = () => isDialled(Number(port));
    await waitUntil("the node's connection to the runner hangs", isHanging, 2_000).catch(() => {});
    record(`the connection of ${node.name} to the runner hangs: ${isHanging()}`);
    runner.child.kill("SIGCONT");
    sockets.forEach(socket => socket.destroy());
    await pause(relayPauseMs);
    return { sent };
};

const isRelayed = node => /"way":"relayed"/.test(node.log);

await runCase(import.meta.url, async () => {
    const platform = await startPlatform();
    platform.store.put("op", "config", createConfiguration(1));
    const runner = { child: startChild("runnerProcess.mjs"), runs: 0, sentAt: new Map() };
    runner.child.on("message", message => {
        record("runner:", message);
        if (message.kind === "listening") {
            Object.assign(runner, message);
        }
        runner.runs += message.kind === "run" ? 1 : 0;
    });
    await waitUntil("the runner listens", () => runner.address !== undefined);
    platform.store.put("servers", runner.id, {
        service: "llm",
        address: runner.address,
        zone: "zone-a",
        version: "1",
        slots: 96,
        state: "ready",
        coldRemainingMs: 0,
        seq: 1,
        born: Date.now(),
    });
    const node = await createNode("edge-a-1", platform);
    const member = await createNode("edge-b-1", platform, { zone: "zone-b" });
    [node, member].forEach(each => each.start());
    await Promise.all([node, member].map(each => each.waitUntilReady()));
    await pause(1_500);
    const call = { path: "/summary/1" };
    const early = [];
    for (let count = 0; hasTrouble && !isRelayed(node); count += 1) {
        if (count === tries) {
            throw new Error("the node's connection to the runner could not be made to hang");
        }
        const { sent } = await partition(node, runner, call);
        early.push(sent);
    }
    const before = runner.runs;
    const asked = Array.from({ length: streams }, () => send(node, call));
    await waitUntil("the streams run", () => runner.runs === before + streams);
    await pause(1_200);
    if (hasTrouble) {
        member.signal("SIGKILL");
    }
    const outcomes = await Promise.all([...asked, ...early]);
    const count = ({ body = "" }) => body.split("\n").filter(line => line.startsWith("id: ")).length;
    const short = outcomes.filter(outcome =>
        outcome.status === 200 && outcome.isWhole && count(outcome) < runner.events
    );
    record(`${short.length} streams with fewer than ${runner.events} events ended as complete`);
    const served = outcomes.filter(({ status }) => status === 200).length;
    if (served === 0) {
        throw new Error("no stream was served");
    }
    return short.length === 0;
});
