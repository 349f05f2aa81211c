import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { PassThrough } from "node:stream";
import { resetOnError } from "./resetOnError";

describe("resetOnError", () => {
    let server: Server;
    let near: Socket;
    let far: Socket;

    beforeEach(async () => {
        server = createServer().listen(0, "127.0.0.1");
        await once(server, "listening");
        near = connect((server.address() as AddressInfo).port, "127.0.0.1");
        [far] = await once(server, "connection") as [Socket];
        resetOnError(near);
    });

    afterEach(() => void server.close());

    it("resets a connection that is given up with an error, which is emitted before its close", async () => {
        const emitted: string[] = [];
        near.on("error", error => emitted.push(error.message)).on("close", () => emitted.push("close"));
        far.resume();
        const failed = once(far, "error");
        near.destroy(new Error("aborted"));
        expect((await failed)[0]).toMatchObject({ code: "ECONNRESET" });
        expect(emitted).toEqual(["aborted", "close"]);
    });

    it("closes a connection in order that is ended without an error", async () => {
        far.resume();
        near.destroy();
        await once(far, "end");
    });

    it("leaves other streams as they are", () => {
        const stream = new PassThrough();
        const { destroy } = stream;
        resetOnError(stream);
        expect(stream.destroy).toBe(destroy);
    });
});
