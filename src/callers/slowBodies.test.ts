import { request as httpRequest } from "node:http";
import { createTestCluster, testKeys } from "../../standins/createTestCluster";
import type { LocalCluster } from "../../standins/LocalCluster";
import { pause } from "../../standins/pause";

const headMs = 150; // a head and one byte reach the node

/** Begins a request and sends a part of its body; returns a function that sends the rest and resolves with the status. */
const begin = (url: string, body: string): () => Promise<number> => {
    const headers = {
        "authorization": `Bearer ${testKeys.small}`,
        "idempotency-key": "slow-1",
        "content-type": "application/json",
        "content-length": body.length,
    };
    const sent = httpRequest(url, { method: "POST", headers });
    const status = new Promise<number>((resolve, reject) => {
        sent.on("error", reject);
        sent.on("response", response => {
            response.resume();
            response.on("end", () => resolve(response.statusCode!));
        });
    });
    sent.write(body.slice(0, 1));
    return () => {
        sent.end(body.slice(1));
        return status;
    };
};

describe("a request of a client account whose body ends long after its head", () => {
    let cluster: LocalCluster;

    beforeAll(async () => {
        cluster = createTestCluster();
        await cluster.start();
    });

    afterAll(() => cluster.stop());

    // Guards against requests that run though their key was taken away long before they were sent.
    it("does not run once its key was taken away", async () => {
        const [{ callersUrl }] = cluster.nodes;
        const finishBooking = begin(`${callersUrl}/v1/services/roster/bookings`, "{\"crew\":1}");
        const messages = [{ role: "user", content: "slow" }];
        const finishChat = begin(
            `${callersUrl}/v1/chat/completions`,
            JSON.stringify({ model: "llm", messages }),
        );
        await pause(headMs);
        const declaration = cluster.createDeclaration();
        const [large] = declaration.clientAccounts;
        const applied = await cluster.applyConfiguration(
            { ...declaration, clientAccounts: [large] },
            1,
            "second",
        );
        expect(applied.status).toBe(200);
        expect([await finishBooking(), await finishChat()]).toEqual([401, 401]);
        const runs = cluster.standIns.runners.flatMap(runner => runner.plain?.runs ?? []);
        expect(runs).toEqual([]);
    });
});
