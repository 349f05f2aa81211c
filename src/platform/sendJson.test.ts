import { Socket } from "node:net";
import { Agent, type Dispatcher } from "undici";
import { sendJson } from "./sendJson";

const timeoutMs = 50;

describe("sendJson", () => {
    it("rejects at its time-out while no connection is established", async () => {
        const attempts: Socket[] = [];
        const dispatcher = new Agent({
            connect: () => {
                attempts.push(new Socket());
                return attempts.at(-1)!;
            },
        });
        const sent = sendJson({ dispatcher, url: "http://10.0.0.1:80/rows", method: "GET", timeoutMs });
        await expect(sent).rejects.toMatchObject({ effect: "unknown" });
        expect(attempts).toHaveLength(1);
    }, 5_000);

    // Guards against a write that was sent, and is told as not done because its connection failed with such a code.
    it.each([["connect", "none"], ["read", "unknown"], ["write", "unknown"]])(
        "tells by the failed step whether anything was sent: EHOSTUNREACH at %s, %s",
        async (syscall, effect) => {
            const failure = Object.assign(new Error("no route"), { code: "EHOSTUNREACH", syscall });
            const dispatcher = { request: () => Promise.reject(failure) } as unknown as Dispatcher;
            const sent = sendJson({ dispatcher, url: "http://10.0.0.1:80/rows", method: "POST", timeoutMs });
            await expect(sent).rejects.toMatchObject({ effect });
        },
    );

    it("rejects as not sent where nobody listens", async () => {
        const dispatcher = new Agent();
        const sent = sendJson({
            dispatcher,
            url: "http://127.0.0.1:1/rows",
            method: "POST",
            timeoutMs: 1_000,
        });
        await expect(sent).rejects.toMatchObject({ effect: "none" });
        await dispatcher.close();
    });
});
