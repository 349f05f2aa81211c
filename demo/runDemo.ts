import { hashText } from "../src/_lib/hashText";
import type { EntryNode } from "../src/daemon/EntryNode";
import { generateAnswer } from "../standins/generateToken";
import type { LocalCluster } from "../standins/LocalCluster";
import { readEventStream, type ReceivedStream } from "../standins/readEventStream";
import type { DemoChecks } from "./DemoChecks";

const accountKey = "key-of-vatva-heat";
const bookingKey = "release-4711";
const reclaimNoticeMs = 2_000;
const furnaceLog = "Batch 4711, 42CrMo4, soak 860 C for 95 min, oil quench 62 C, transfer 41 s. "
    + "Hardness 48 HRC against a target of 52 HRC. Explain the hardness miss and summarise the batch.";

/**
 * Demonstrates the system's guarantees on a cluster, among them that requests survive reclaimed VMs.
 *
 * @param cluster - a started cluster with the demo's configuration
 * @param checks - receives the outcome of each check
 */
export const runDemo = async (cluster: LocalCluster, checks: DemoChecks): Promise<void> => {
    await checkEntries(cluster, checks);
    await checkSummary(cluster, checks);
    await checkBooking(cluster, checks);
    await checkConfiguration(cluster, checks);
    await checkUpstreamReclaim(cluster, checks);
    await checkPlannedStop(cluster, checks);
    await checkEntryReclaim(cluster, checks);
    checks.record(
        "no assertion failed",
        cluster.brokenInvariants.length === 0,
        cluster.brokenInvariants.join("; ") || "none",
    );
};

const checkEntries = async (cluster: LocalCluster, checks: DemoChecks): Promise<void> => {
    const answer = await fetch(`${cluster.nodes[0].callersUrl}/v1/entries`);
    const { entries } = await answer.json() as { entries: string[]; };
    checks.record(
        "callers learn the addresses",
        entries.length === cluster.nodes.length,
        `${entries.length} entries`,
    );
};

const checkSummary = async (cluster: LocalCluster, checks: DemoChecks): Promise<void> => {
    const stream = await startSummary(cluster.nodes[0], furnaceLog);
    const expected = generateAnswer(toPrompt(furnaceLog));
    checks.record(
        "a furnace-log summary is streamed whole",
        stream.isWhole && stream.text === expected,
        `${stream.events.length} events, request ${stream.requestId}`,
    );
};

const checkBooking = async (cluster: LocalCluster, checks: DemoChecks): Promise<void> => {
    const [first, second] = cluster.nodes;
    const booked = await book(first);
    const retried = await book(second);
    const runs = cluster.standIns.runners.flatMap(runner => runner.plain?.runs ?? [])
        .filter(run => run.idempotencyKey === bookingKey);
    const isSame = JSON.stringify(booked.body) === JSON.stringify(retried.body);
    checks.record(
        "a booking runs once, however often it is asked for",
        booked.status === 201 && isSame && runs.length === 1,
        `${runs.length} run`,
    );
    const status = await call(second, "/v1/services/roster/status", {});
    checks.record("a status look-up is answered", status.status === 200, JSON.stringify(status.body));
};

const checkConfiguration = async (cluster: LocalCluster, checks: DemoChecks): Promise<void> => {
    const declaration = cluster.createDeclaration();
    const key = "key-of-a-new-shop";
    declaration.clientAccounts.push({ id: "new-shop", keyHashes: [hashText(key)], services: ["bhatti-llm"] });
    const applied = await cluster.applyConfiguration(declaration, 1, "add-new-shop");
    const inForce = applied.body.inForce ?? [];
    checks.record(
        "a configuration is in force on all nodes",
        inForce.length === cluster.nodes.length,
        `revision ${applied.body.revision} on ${inForce.join(", ")}`,
    );
    const conflicting = await cluster.applyConfiguration(
        declaration,
        1,
        "another-operator",
        cluster.nodes[1],
    );
    checks.record(
        "a second operator is told of the conflict",
        conflicting.status === 409,
        conflicting.body.error?.name ?? "",
    );
};

const checkUpstreamReclaim = async (cluster: LocalCluster, checks: DemoChecks): Promise<void> => {
    const prompts = Array.from({ length: 12 }, (_, index) => `${furnaceLog} Shift report ${index}.`);
    const pending = prompts.map(prompt => startSummary(cluster.nodes[0], prompt, 150));
    await cluster.clock.sleep(300);
    const taken = cluster.standIns.runners.find(runner => runner.engine && runner.engine.load > 0)!;
    cluster.standIns.cloud.reclaim(taken.vm.id, reclaimNoticeMs / 2);
    const streams = await Promise.all(pending);
    const whole = streams.filter((stream, index) =>
        stream.isWhole && stream.text === generateAnswer(toPrompt(prompts[index]), 150)
    );
    checks.record(
        "streams survive the reclaim of a runner",
        whole.length === prompts.length,
        `${whole.length} of ${prompts.length} whole`,
    );
};

const checkPlannedStop = async (cluster: LocalCluster, checks: DemoChecks): Promise<void> => {
    const leaving = cluster.nodes[2];
    const pending = startSummary(leaving, furnaceLog, 200);
    await cluster.clock.sleep(200);
    await cluster.stopNode(leaving.nodeId);
    const stream = await pending;
    checks.record("a planned stop cuts nothing", stream.isWhole, `${stream.events.length} events`);
    const answer = await fetch(`${cluster.nodes[0].callersUrl}/v1/entries`);
    const { entries } = await answer.json() as { entries: string[]; };
    checks.record(
        "the stopped node is no longer named",
        entries.length === cluster.nodes.length,
        `${entries.length} entries`,
    );
};

const checkEntryReclaim = async (cluster: LocalCluster, checks: DemoChecks): Promise<void> => {
    const leaving = cluster.nodes[1];
    const remaining = cluster.nodes[0];
    const pending = startSummary(leaving, `${furnaceLog} Long plan.`, 600);
    await cluster.clock.sleep(300);
    cluster.standIns.cloud.reclaim(`vm-${leaving.nodeId}`, reclaimNoticeMs);
    const first = await pending;
    const last = first.events.at(-1)?.id ?? -1;
    const rest = first.isWhole ? undefined : await resume(remaining, first.requestId!, last);
    const text = first.text + (rest?.text ?? "");
    const held = text === generateAnswer(toPrompt(`${furnaceLog} Long plan.`), 600);
    const resumed = rest ? `, resumed after event ${last}` : "";
    checks.record(
        "a stream survives the reclaim of its entry VM",
        held,
        `${first.events.length + (rest?.events.length ?? 0)} events${resumed}`,
    );
};

const startSummary = async (node: EntryNode, prompt: string, maxTokens?: number): Promise<ReceivedStream> => {
    const answer = await fetch(`${node.callersUrl}/v1/chat/completions`, {
        method: "POST",
        headers: { "authorization": `Bearer ${accountKey}`, "content-type": "application/json" },
        body: JSON.stringify({
            model: "bhatti-llm",
            stream: true,
            max_tokens: maxTokens,
            messages: [{ role: "user", content: prompt }],
        }),
    });
    return readEventStream(answer);
};

const resume = async (node: EntryNode, requestId: string, lastEventId: number): Promise<ReceivedStream> =>
    readEventStream(
        await fetch(`${node.callersUrl}/v1/requests/${requestId}/events`, {
            headers: { "authorization": `Bearer ${accountKey}`, "last-event-id": String(lastEventId) },
        }),
    );

const book = (node: EntryNode): Promise<{ status: number; body: unknown; }> =>
    call(node, "/v1/services/roster/bookings", {
        method: "POST",
        headers: { "idempotency-key": bookingKey, "content-type": "application/json" },
        body: JSON.stringify({ charge: 4711, crew: "vatva-2" }),
    });

const call = async (
    node: EntryNode,
    path: string,
    init: RequestInit,
): Promise<{ status: number; body: unknown; }> => {
    const headers = { ...init.headers as Record<string, string>, authorization: `Bearer ${accountKey}` };
    const answer = await fetch(`${node.callersUrl}${path}`, { ...init, headers });
    return { status: answer.status, body: await answer.json() };
};

const toPrompt = (content: string): string => `user\n${content}\n`;
