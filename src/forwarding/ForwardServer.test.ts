import { EventLog } from "../telemetry/EventLog";
import { SystemClock } from "../kernel/SystemClock";
import { PlannedStop } from "../stopping/PlannedStop";
import { ForwardServer } from "./ForwardServer";

describe("ForwardServer", () => {
    // Guards against a process that ends at its next response under limits that are no time.
    it.each([Infinity, -Infinity, NaN, -1, 1e308, 0.5])("serves with time-outs of %d ms", async limitMs => {
        const clock = new SystemClock();
        const server = new ForwardServer({
            host: "127.0.0.1",
            port: 0,
            clock,
            events: new EventLog({ node: "n", clock }),
            plannedStop: new PlannedStop({ clock }),
        });
        await server.start();
        server.applyLimits({ headerTimeoutMs: limitMs, idleTimeoutMs: limitMs });
        for (let index = 0; index < 2; index += 1) {
            const response = await fetch(`http://127.0.0.1:${server.port}/`);
            expect(response.status).toBe(503);
            await response.text();
        }
        await server.stop();
    });
});
