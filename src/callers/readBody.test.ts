import { IncomingMessage } from "node:http";
import { Socket } from "node:net";
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
