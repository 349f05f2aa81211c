import type { Dispatcher } from "undici";
import { measureHeldHeap } from "../../standins/measureHeldHeap";
import { AnswerMemory } from "./AnswerMemory";
import { collectBody } from "./collectBody";
import { UpstreamExchange } from "./UpstreamExchange";

const controller = {
    abort: jest.fn(),
    pause: jest.fn(),
    resume: jest.fn(),
} as unknown as Dispatcher.DispatchController;
const chunkBytes = 4;
const chunkCount = 500_000;

const startExchange = (): UpstreamExchange => {
    const exchange = new UpstreamExchange();
    exchange.onRequestStart(controller);
    exchange.onResponseStart(controller, 200, { "transfer-encoding": "chunked" });
    return exchange;
};

/** Passes a body on in chunks that are parts of one buffer, as a connection does. */
const receiveChunks = (exchange: UpstreamExchange): void => {
    const received = Buffer.from("junk".repeat(16_384));
    for (let count = 0; count < chunkCount; count += 1) {
        const start = count * chunkBytes % received.length;
        exchange.onResponseData(controller, received.subarray(start, start + chunkBytes));
    }
};

describe("collectBody", () => {
    it("returns the bytes of all chunks, in order", async () => {
        const exchange = startExchange();
        exchange.onResponseData(controller, Buffer.from("a"));
        const collected = collectBody(exchange, { maxBytes: 10 });
        exchange.onResponseData(controller, Buffer.from("bc"));
        exchange.onResponseEnd();
        expect(await collected).toEqual({ kind: "whole", body: Buffer.from("abc") });
    });

    it.each([["bytes of an answer", 2, undefined], ["memory of the node", 10, 2]])(
        "aborts an answer that exceeds the limit: %s",
        async (_name, maxBytes, memoryBytes) => {
            const exchange = startExchange();
            const memory = new AnswerMemory(memoryBytes).hold();
            const collected = collectBody(exchange, { maxBytes, memory });
            exchange.onResponseData(controller, Buffer.from("abc"));
            expect((await collected).kind).toBe("broken");
        },
    );

    // Guards against an answer in small chunks that takes many times its bytes, up to the process's whole heap.
    it.each([["before", true], ["after", false]])(
        "holds an answer in small chunks in little more than its bytes, if they come %s it is read",
        async (_name, isEarly) => {
            const exchange = startExchange();
            const heldBytes = await measureHeldHeap(() => {
                if (isEarly) {
                    receiveChunks(exchange);
                }
                void collectBody(exchange, { maxBytes: Infinity });
                if (!isEarly) {
                    receiveChunks(exchange);
                }
            });
            expect(heldBytes).toBeLessThan(2 * chunkCount * chunkBytes);
        },
    );
});
