import { Socket } from "node:net";
import { Agent } from "undici";
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
});
