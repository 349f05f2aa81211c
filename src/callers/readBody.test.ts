import { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import { HeldBytes } from "../http/HeldBytes";
import { FakeClock } from "../kernel/FakeClock";
import { measureHeldHeap } from "../../standins/measureHeldHeap";
import { readBody } from "./readBody";

const chunkBytes = 2;
const chunkCount = 500_000;
const maxBytes = 4_194_304;

const createRequest = (): IncomingMessage => {
    const request = new IncomingMessage(new Socket());
    request.headers = { "transfer-encoding": "chunked" };
    return request;
};

describe("readBody", () => {
    it("returns the bytes of all chunks, in order", async () => {
        const request = createRequest();
        const body = readBody(request, maxBytes);
        ["a", "bc"].forEach(text => request.emit("data", Buffer.from(text)));
        request.emit("end");
        expect(String(await body)).toBe("abc");
    });

    it("rejects a body that is larger than the limit", async () => {
        const request = createRequest();
        const body = readBody(request, 2);
        request.emit("data", Buffer.from("abc"));
        await expect(body).rejects.toThrow("larger than the limit");
    });

    // Guards against a request that waits for room and is never answered since its caller has left meanwhile.
    it("rejects a body whose connection has closed while it waited for room", async () => {
        const clock = new FakeClock();
        const held = new HeldBytes({ maxBytes: 1_000, clock });
        const other = await held.hold({ owner: "a", bytes: 1_000, onGivenUp: () => {} });
        const request = createRequest();
        const body = readBody(request, maxBytes, { held, owner: "b", onHold: () => {} });
        request.destroy();
        other!.release();
        await expect(body).rejects.toThrow("connection closed");
    });

    // Guards against bodies without a stated length that are not counted.
    it("counts a body in chunks as it grows, and refuses it as not run where there is no room", async () => {
        const held = new HeldBytes({ maxBytes: 400_000, clock: new FakeClock() });
        await held.hold({ owner: "a", bytes: 200_000, onGivenUp: () => {} });
        const request = createRequest();
        const body = readBody(request, maxBytes, { held, owner: "b", onHold: () => {} });
        await Promise.resolve();
        await Promise.resolve();
        for (let count = 0; count < 4; count += 1) {
            request.emit("data", Buffer.alloc(65_536));
        }
        await expect(body).rejects.toMatchObject({
            failure: { resultCode: { name: "caller-memory-limit", run: "not-run" } },
        });
        expect(held.used).toBe(200_000);
    });

    // Guards against a body in small chunks that takes many times its bytes, up to the process's whole heap.
    it("holds a body in small chunks in little more than its bytes", async () => {
        const request = createRequest();
        const heldBytes = await measureHeldHeap(() => {
            void readBody(request, maxBytes);
            const received = Buffer.from("ab".repeat(16_384));
            for (let count = 0; count < chunkCount; count += 1) {
                const start = count * chunkBytes % received.length;
                request.emit("data", received.subarray(start, start + chunkBytes));
            }
        });
        expect(heldBytes).toBeLessThan(2 * chunkCount * chunkBytes);
    });
});
