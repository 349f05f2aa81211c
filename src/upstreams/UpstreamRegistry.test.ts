import { FakeClock } from "../kernel/FakeClock";
import { GossipMap } from "../peers/GossipMap";
import type { Vm } from "../platform/types";
import { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { HttpPlainClient } from "./HttpPlainClient";
import type { EngineClient } from "./types";
import { UpstreamRegistry } from "./UpstreamRegistry";

const createVm = (id: string, url: string): Vm => ({
    id,
    role: "upstream",
    service: "app",
    dataCentre: "a",
    url,
    state: "live",
    market: "on-demand",
    machineClass: "small",
});

describe("UpstreamRegistry", () => {
    // Guards against a VM whose URL is none and that keeps all other changes of the runners from being applied.
    it("ignores a VM with an unusable URL, logs it once, and applies all others", async () => {
        const clock = new FakeClock();
        const events = new EventLog({ node: "self", clock });
        const gossip = new GossipMap({ nodeId: "self", hybridClock: events.hybridClock });
        const registry = new UpstreamRegistry({
            nodeId: "self",
            clock,
            events,
            gossip,
            clients: {
                createEngineClient: () => ({}) as EngineClient,
                createPlainClient: vm => new HttpPlainClient({ url: vm.url, connectTimeoutMs: 100 }),
            },
            readServiceKind: () => "plain",
            loadPollMs: 100,
        });
        gossip.set("vm/1", createVm("odd", "http://127.0.0.1:99999"));
        gossip.set("vm/2", createVm("sound", "http://127.0.0.1:80"));
        await registry.start();
        registry.refresh();
        expect(registry.listUsable("app").map(({ id }) => id)).toEqual(["sound"]);
        expect(events.count(eventKinds.runnerRejected)).toBe(1);
        await registry.stop();
    });
});
