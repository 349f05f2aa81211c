import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import { UpstreamExchange } from "./UpstreamExchange";

const controller = {
    abort: jest.fn(),
    pause: jest.fn(),
    resume: jest.fn(),
} as unknown as Dispatcher.DispatchController & { readonly abort: jest.Mock; };

/** Runs an exchange with one complete answer; resolves to whether it counts as whole. */
const playAnswer = async (headers: IncomingHttpHeaders, isReset: boolean): Promise<boolean> => {
    const exchange = new UpstreamExchange();
    exchange.setConnection({
        isReset: () => isReset,
        isConfirmed: () => true,
        beginCall: () => {},
        endCall: () => {},
        close: () => {},
        prepareAbort: () => {},
    });
    exchange.onRequestStart(controller);
    exchange.onResponseStart(controller, 200, headers);
    exchange.onResponseData(controller, Buffer.from("bytes"));
    exchange.onResponseEnd();
    return (await exchange.ended).isWhole;
};

describe("UpstreamExchange", () => {
    it("treats a close-delimited answer as truncated when its connection was reset", async () => {
        expect(await playAnswer({}, true)).toBe(false);
        expect(await playAnswer({}, false)).toBe(true);
    });

    // Guards against the same where the answer has a transfer coding that does not mark its end.
    it("treats an answer whose last coding is not chunked as close-delimited", async () => {
        for (const codings of ["gzip", "chunked, gzip", "x-chunked"]) {
            expect(await playAnswer({ "transfer-encoding": codings }, true)).toBe(false);
        }
        for (const codings of ["gzip, chunked", "Chunked "]) {
            expect(await playAnswer({ "transfer-encoding": codings }, true)).toBe(true);
        }
    });

    it("treats an answer with a length or chunks as whole even if its connection was reset afterwards", async () => {
        expect(await playAnswer({ "content-length": "5" }, true)).toBe(true);
        expect(await playAnswer({ "transfer-encoding": "chunked" }, true)).toBe(true);
    });

    it("buffers chunks that arrive before a listener is set, and keeps their order", () => {
        const exchange = new UpstreamExchange();
        exchange.onRequestStart(controller);
        exchange.onResponseStart(controller, 200, {});
        exchange.onResponseData(controller, Buffer.from("a"));
        const heard: string[] = [];
        exchange.listen(chunk => heard.push(chunk.toString()));
        exchange.onResponseData(controller, Buffer.from("b"));
        expect(heard).toEqual(["a", "b"]);
    });

    it("does not write a call that was aborted before it had a connection", async () => {
        const exchange = new UpstreamExchange();
        exchange.abort("left");
        exchange.onRequestStart(controller);
        expect(controller.abort).toHaveBeenCalled();
        expect(await exchange.started).toMatchObject({ kind: "failed", isSent: false });
    });

    it("reports a call as sent once it was handed to its connection", async () => {
        const exchange = new UpstreamExchange();
        exchange.onRequestStart(controller);
        exchange.onResponseError(controller, new Error("reset"));
        expect(await exchange.started).toMatchObject({ kind: "failed", isSent: true });
    });
});
