import { pause } from "../../standins/pause";
import { PlainStandIn } from "../../standins/PlainStandIn";
import { HttpPlainClient } from "./HttpPlainClient";
import type { PlainCall, PlainFailure } from "./types";

const timeoutMs = 200;
const readMs = 200; // until a late service has read what it was sent
const largeBodyBytes = 8_388_608; // more than the system holds for one connection

describe("HttpPlainClient", () => {
    let service: PlainStandIn;
    let client: HttpPlainClient;

    beforeEach(async () => {
        service = new PlainStandIn("roster");
        await service.server.start();
        client = new HttpPlainClient({ url: service.server.url, connectTimeoutMs: 500, maxConnections: 1 });
    });

    afterEach(async () => {
        await client.close();
        await service.server.stop();
    });

    const book = async (key: string, body = "{}"): Promise<PlainFailure | undefined> => {
        const call: PlainCall = {
            method: "POST",
            path: "/bookings",
            headers: { "idempotency-key": key },
            body: Buffer.from(body),
            timeoutMs,
        };
        const result = await client.call(call);
        return "failure" in result ? result.failure : undefined;
    };

    const listRuns = (): (string | undefined)[] => service.runs.map(({ idempotencyKey }) => idempotencyKey);

    // Guards against calls that are sent elsewhere since they were given up, and run nevertheless.
    it("says that a call was sent which its service reads after it was given up, but not one that waited", async () => {
        expect(await book("warm-up")).toBeUndefined();
        service.server.setReading(false);
        const [first, second] = await Promise.all([book("first"), book("second")]);
        expect([first?.isSent, second?.isSent]).toEqual([true, false]);
        service.server.setReading(true);
        await pause(readMs);
        expect(listRuns()).toEqual(["warm-up", "first"]);
    });

    it("says that a call was sent of which only a part was written", async () => {
        service.server.setReading(false);
        const failure = await book("large", JSON.stringify("x".repeat(largeBodyBytes)));
        expect(failure?.isSent).toBe(true);
    });
});
