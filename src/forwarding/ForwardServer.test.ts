import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { pause } from "../../standins/pause";
import { EventLog } from "../telemetry/EventLog";
import { SystemClock } from "../kernel/SystemClock";
import { PlannedStop } from "../stopping/PlannedStop";
import { ForwardServer } from "./ForwardServer";

const headerTimeoutMs = 1_000;
const idleTimeoutMs = 300;
const slackMs = 1_000;
const head = "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\n";

const createServer = (): ForwardServer => {
    const clock = new SystemClock();
    return new ForwardServer({
        host: "127.0.0.1",
        port: 0,
        clock,
        events: new EventLog({ node: "n", clock }),
        plannedStop: new PlannedStop({ clock }),
    });
};

describe("ForwardServer", () => {
    // Guards against a process that ends at its next response under limits that are no time.
    it.each([Infinity, -Infinity, NaN, -1, 1e308, 0.5])("serves with time-outs of %d ms", async limitMs => {
        const server = createServer();
        await server.start();
        server.applyLimits({ headerTimeoutMs: limitMs, idleTimeoutMs: limitMs });
        for (let index = 0; index < 2; index += 1) {
            const response = await fetch(`http://127.0.0.1:${server.port}/`);
            expect(response.status).toBe(503);
            await response.text();
        }
        await server.stop();
    });

    describe("after a request that it refused before its body had ended", () => {
        let server: ForwardServer;
        let caller: Socket;

        beforeEach(async () => {
            server = createServer();
            await server.start();
            server.applyLimits({ headerTimeoutMs, idleTimeoutMs });
            caller = connect(server.port, "127.0.0.1");
            caller.write(`${head}a`);
            expect(String((await once(caller, "data"))[0])).toContain("503");
        });

        afterEach(async () => {
            caller.destroy();
            await server.stop();
        });

        // Guards against connections that are held for as long as a body does not end.
        it("closes the connection if the body does not end", async () => {
            const closed = once(caller, "close").then(() => "closed");
            expect(await Promise.race([closed, pause(idleTimeoutMs + slackMs)])).toBe("closed");
        });

        it("serves further requests on the connection if the body ends", async () => {
            await pause(idleTimeoutMs / 2);
            caller.write(`b${head}`);
            expect(String((await once(caller, "data"))[0])).toContain("503");
            caller.write("ab");
        });
    });
});
