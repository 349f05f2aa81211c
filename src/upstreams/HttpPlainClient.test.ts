import { pause } from "../../standins/pause";
import { PlainStandIn } from "../../standins/PlainStandIn";
import { HttpPlainClient } from "./HttpPlainClient";
import type { PlainCall, PlainFailure } from "./types";

const timeoutMs = 400;
const shortTimeoutMs = 100; // of a call that waits for the connection of another one
const readMs = 200; // for what should not be read
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

    const book = async (
        key: string,
        { body = "{}", limitMs = timeoutMs } = {},
    ): Promise<PlainFailure | undefined> => {
        const call: PlainCall = {
            method: "POST",
            path: "/bookings",
            headers: { "idempotency-key": key },
            body: Buffer.from(body),
            timeoutMs: limitMs,
        };
        const result = await client.call(call);
        return "failure" in result ? result.failure : undefined;
    };

    const listRuns = (): (string | undefined)[] => service.runs.map(({ idempotencyKey }) => idempotencyKey);

    // Guards against calls that are sent elsewhere since they were given up, and run nevertheless.
    it("says that a call was sent which its service reads after it was given up, but not one that waited", async () => {
        expect(await book("warm-up")).toBeUndefined();
        service.server.setReading(false);
        const [first, second] = await Promise.all([
            book("first"),
            book("second", { limitMs: shortTimeoutMs }),
        ]);
        expect([first?.isSent, second?.isSent]).toEqual([true, false]);
        service.server.setReading(true);
        while (listRuns().length < 2) {
            await pause(1);
        }
        await pause(readMs);
        expect(listRuns()).toEqual(["warm-up", "first"]);
    });

    it("says that a call was sent of which only a part was written", async () => {
        service.server.setReading(false);
        const failure = await book("large", { body: JSON.stringify("x".repeat(largeBodyBytes)) });
        expect(failure?.isSent).toBe(true);
    });
});
