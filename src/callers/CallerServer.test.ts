import { once } from "node:events";
import { connect } from "node:net";
import OpenAI from "openai";
import { createTestCluster, testKeys } from "../../standins/createTestCluster";
import { generateAnswer } from "../../standins/generateToken";
import type { LocalCluster } from "../../standins/LocalCluster";
import type { ReceivedStream } from "../../standins/readEventStream";
import { readError, TestCaller } from "../../standins/TestCaller";

const large = new TestCaller(testKeys.large);
const small = new TestCaller(testKeys.small);

describe("HTTP interface for callers", () => {
    let cluster: LocalCluster;

    beforeAll(async () => {
        cluster = createTestCluster({ nodeCount: 2, limits: { maxBodyBytes: 20_000 } });
        await cluster.start();
    });

    afterAll(async () => {
        await cluster.stop();
        expect(cluster.brokenInvariants).toEqual([]);
    });

    const findRunningId = (): string => {
        const chatRequests = cluster.nodes[0].kernel.find({ id: "chat-requests" } as never) as {
            listInProgress(): { id: string; }[];
        };
        return chatRequests.listInProgress()[0].id;
    };

    it("serves an existing chat-completions client, with a stream or one body", async () => {
        const client = new OpenAI({
            apiKey: testKeys.large,
            baseURL: `${cluster.nodes[0].callersUrl}/v1`,
            maxRetries: 0,
        });
        const messages = [{ role: "user" as const, content: "Explain the hardness miss." }];
        const whole = await client.chat.completions.create({ model: "llm", messages });
        const expected = generateAnswer("user\nExplain the hardness miss.\n");
        expect(whole.choices[0].message.content).toBe(expected);
        expect(whole.usage?.completion_tokens).toBeGreaterThan(0);
        let text = "";
        for await (
            const chunk of await client.chat.completions.create({
                model: "llm-alias",
                messages,
                stream: true,
            })
        ) {
            text += chunk.choices[0]?.delta?.content ?? "";
        }
        expect(text).toBe(expected);
    });

    it("numbers stream events without gaps and sends the request id", async () => {
        const stream = await large.stream(cluster.nodes[0], "numbers");
        expect(stream.requestId).toBeDefined();
        expect(stream.events.map(event => event.id)).toEqual(stream.events.map((_, index) => index));
        expect(stream.isWhole).toBe(true);
    });

    it("resumes a stream on any node, for its own account only", async () => {
        const [first, second] = cluster.nodes;
        const stream = await large.stream(first, "resume me");
        const rest = await large.resume(second, stream.requestId!, 4);
        expect(rest.events[0].id).toBe(5);
        expect(rest.events.length).toBe(stream.events.length - 5);
        const foreign = await small.resume(second, stream.requestId!, 4);
        expect(foreign.status).toBe(404);
        const state = await small.call(first, `/v1/requests/${stream.requestId}`);
        expect(readError(state).name).toBe("unknown-request");
        const cancel = await small.call(first, `/v1/requests/${stream.requestId}`, { method: "DELETE" });
        expect(cancel.status).toBe(404);
    });

    it("cancels a running request from another node", async () => {
        const [first, second] = cluster.nodes;
        const streaming = new Promise<void>(resolve => {
            void large.stream(first, "long", { max_tokens: 5_000 }, { "idempotency-key": "long-1" }, {
                onEvent: event => event.id === 3 && resolve(),
            });
        });
        await streaming;
        const { body } = await large.complete(second, "other");
        expect(body.object).toBe("chat.completion");
        const answer = await large.call(second, `/v1/requests/${findRunningId()}`, { method: "DELETE" });
        expect(answer.body.state).toBe("cancelled");
    });

    // Guards against streams that end with an error and are framed as complete, here and through another node.
    it("breaks a stream off after the error that ends it", async () => {
        const [first, second] = cluster.nodes;
        let relayed: Promise<ReceivedStream> | undefined;
        const streaming = large.stream(first, "cut", { max_tokens: 5_000 }, { "idempotency-key": "cut-1" }, {
            onEvent: ({ id }) => {
                if (id === 3) {
                    relayed = large.resume(second, findRunningId());
                }
                if (id === 40) {
                    void large.call(second, `/v1/requests/${findRunningId()}`, { method: "DELETE" });
                }
            },
        });
        for (const stream of [await streaming, await relayed!]) {
            expect(stream).toMatchObject({ status: 200, isWhole: false, isBroken: true });
            expect(stream.events.at(-1)?.data).toContain("\"error\"");
            expect(stream.events.length).toBeGreaterThan(4);
        }
    });

    it("answers a retry under the same key with the first request's answer, on any node", async () => {
        const [first, second] = cluster.nodes;
        const headers = { "idempotency-key": "draft-1" };
        const one = await large.complete(first, "keyed", {}, headers);
        const two = await large.complete(second, "keyed", {}, headers);
        expect(two.headers.get("request-id")).toBe(one.headers.get("request-id"));
        expect(two.body.choices).toEqual(one.body.choices);
        const reused = await large.complete(second, "another body", {}, headers);
        expect(reused.status).toBe(422);
        expect(readError(reused)).toMatchObject({ name: "idempotency-key-reused", run: "not-run" });
    });

    it("books once under an idempotency key and refuses bookings without one", async () => {
        const [first, second] = cluster.nodes;
        const one = await large.book(first, "b-1");
        const two = await large.book(second, "b-1");
        expect([one.status, two.status]).toEqual([201, 201]);
        expect(two.body).toEqual(one.body);
        expect(two.headers.get("idempotent-replayed")).toBe("true");
        expect(readError(await large.book(second, "b-1", { crew: 2 })).name).toBe("idempotency-key-reused");
        const bare = await large.call(first, "/v1/services/roster/bookings", { method: "POST", body: "{}" });
        expect(readError(bare)).toMatchObject({ name: "idempotency-key-required", run: "not-run" });
        const runs = cluster.standIns.runners.flatMap(runner => runner.plain?.runs ?? []);
        expect(runs.filter(run => run.idempotencyKey === "b-1").length).toBe(1);
        expect(runs.filter(run => run.idempotencyKey === undefined).length).toBe(0);
    });

    it.each<[string, string, RequestInit, number, string]>([
        ["bad JSON", "/v1/chat/completions", { method: "POST", body: "{" }, 400, "bad-json"],
        [
            "wrong types",
            "/v1/chat/completions",
            { method: "POST", body: "{\"model\":1,\"messages\":[]}" },
            400,
            "bad-field",
        ],
        [
            "a huge body",
            "/v1/chat/completions",
            { method: "POST", body: "x".repeat(30_000) },
            413,
            "body-too-large",
        ],
        [
            "an unknown model",
            "/v1/chat/completions",
            {
                method: "POST",
                body: "{\"model\":\"nope\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
            },
            404,
            "unknown-model",
        ],
        [
            "an unknown class",
            "/v1/chat/completions",
            {
                method: "POST",
                headers: { "work-class": "nope" },
                body: "{\"model\":\"llm\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
            },
            400,
            "unknown-class",
        ],
        ["an unknown service", "/v1/services/nope/x", {}, 404, "unknown-service"],
        ["an unknown path", "/v1/nope", {}, 404, "not-found"],
        ["a wrong method", "/v1/chat/completions", {}, 405, "method-not-allowed"],
        ["a wrong offset", "/v1/requests/x/events", { headers: { "last-event-id": "x" } }, 400, "bad-field"],
        [
            "an unknown key",
            "/v1/requests/x",
            { headers: { authorization: "Bearer nope" } },
            401,
            "unauthorized",
        ],
        [
            "an empty key",
            "/v1/services/roster/bookings",
            { method: "POST", headers: { "idempotency-key": "a b" }, body: "{}" },
            400,
            "idempotency-key-invalid",
        ],
        ["an operator's call with an account's key", "/v1/operators/status", {}, 401, "unauthorized"],
    ])("answers %s with an error code and keeps serving", async (_name, path, init, status, name) => {
        const answer = await large.call(cluster.nodes[0], path, init);
        expect(answer.status).toBe(status);
        expect(readError(answer).name).toBe(name);
        expect(readError(answer).code).toBeGreaterThan(1_000);
        expect((await fetch(`${cluster.nodes[0].callersUrl}/healthz`)).status).toBe(200);
    });

    it("survives bytes that are not HTTP", async () => {
        const { port } = new URL(cluster.nodes[0].callersUrl);
        const reply = await new Promise<string>(resolve => {
            const socket = connect(
                Number(port),
                "127.0.0.1",
                () => socket.write("\u0000\u0001garbage\r\n\r\n"),
            );
            socket.on("data", data => resolve(data.toString()));
        });
        expect(reply).toContain("400");
        expect((await fetch(`${cluster.nodes[0].callersUrl}/healthz`)).status).toBe(200);
    });

    // Guards against an answer that says "not run" for a call that is running, given for the bytes that follow it.
    it("answers a call before the connection ends for bytes that are not HTTP", async () => {
        const { port } = new URL(cluster.nodes[0].callersUrl);
        const socket = connect(Number(port), "127.0.0.1");
        const body = JSON.stringify({ model: "llm", messages: [{ role: "user", content: "then bytes" }] });
        const fields = [
            "POST /v1/chat/completions HTTP/1.1",
            "host: localhost",
            `authorization: Bearer ${testKeys.large}`,
            "content-type: application/json",
            `content-length: ${Buffer.byteLength(body)}`,
        ];
        socket.write([...fields, "", body].join("\r\n"));
        socket.write("\u0000\u0001 not HTTP\r\n\r\n");
        let reply = "";
        socket.on("data", chunk => {
            reply += String(chunk);
        });
        await once(socket, "close");
        expect(reply.match(/HTTP\/1\.1 \d+/g)).toEqual(["HTTP/1.1 200"]);
        expect(reply).toContain(generateAnswer("user\nthen bytes\n").slice(-20));
    });

    it("lists only live entries, and reports readiness and metrics", async () => {
        const entries = await large.call(cluster.nodes[0], "/v1/entries");
        expect((entries.body.entries as string[]).sort()).toEqual(
            cluster.nodes.map(node => node.callersUrl).sort(),
        );
        expect((await fetch(`${cluster.nodes[0].callersUrl}/readyz`)).status).toBe(200);
        const metrics = await (await fetch(`${cluster.nodes[0].callersUrl}/metrics`)).text();
        expect(metrics).toContain("sequoiagrade_configuration_revision 1");
        expect(metrics).toContain("sequoiagrade_first_token_seconds_bucket");
    });
});
