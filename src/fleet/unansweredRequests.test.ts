import type { ModelService } from "../declaration/declarationSchema";
import { FakeClock } from "../kernel/FakeClock";
import type { Lease } from "../leases/Lease";
import type { GossipMap } from "../peers/GossipMap";
import { StoreError } from "../platform/StoreError";
import type { Cloud, Vm, VmOffer, VmRequest } from "../platform/types";
import { EventLog } from "../telemetry/EventLog";
import type { UpstreamRegistry } from "../upstreams/UpstreamRegistry";
import { CheapestFleetPolicy } from "./CheapestFleetPolicy";
import { FleetManager } from "./FleetManager";

const offers: readonly VmOffer[] = ["dc-a", "dc-b"].map(dataCentre => ({
    dataCentre,
    machineClass: "gpu-a",
    market: "on-demand",
    pricePerHour: 1,
}));
const service: ModelService = {
    name: "llm",
    kind: "model",
    models: ["m"],
    checksFencing: false,
    defaultClass: "c",
};
const minVms = 2;

describe("requests of VMs that the cloud does not answer", () => {
    const clock = new FakeClock();
    const gossiped = new Map<string, unknown>([["offers", offers]]);
    /** VMs that the cloud has created, by the token of the request. */
    const created = new Map<string, Vm>();
    let isSilent = true;
    const held = { fencing: 3, remainingMs: 5_000 };

    const requestVm = async ({ token, ...request }: VmRequest): Promise<Vm> => {
        const vm = created.get(token) ?? { ...request, id: `vm-${created.size}` } as unknown as Vm;
        created.set(token, vm);
        if (isSilent) {
            throw new StoreError("no answer", "unknown");
        }
        return vm;
    };

    const manager = new FleetManager({
        nodeId: "n",
        clock,
        events: new EventLog({ node: "n", clock }),
        gossip: {
            listValues: (prefix: string) =>
                [...gossiped].filter(([key]) => key.startsWith(prefix)).map(([, value]) => value),
            get: (key: string) => gossiped.get(key),
            set: (key: string, value: unknown) => void gossiped.set(key, value),
        } as unknown as GossipMap,
        registry: { listRunners: () => [] } as unknown as UpstreamRegistry,
        cloud: { requestVm } as unknown as Cloud,
        lease: {
            start: async () => {},
            stop: async () => {},
            readHeldFor: () => held,
        } as unknown as Lease,
        policy: new CheapestFleetPolicy(),
        readDeclaration: () => ({ services: [service], classes: [], clientAccounts: [] }),
        readQueueSizes: () => new Map(),
        minVms,
        callTimeoutMs: 2_000,
    });

    afterAll(() => manager.stop());

    // Guards against a fleet that grows with each cycle in which the cloud carries requests out and does not answer.
    it("count as ordered until they are answered", async () => {
        await manager.start();
        await clock.advance(20_000);
        expect(created.size).toBe(minVms);
        isSilent = false;
        await clock.advance(20_000);
        expect(created.size).toBe(minVms);
        expect([...gossiped.keys()].filter(key => key.startsWith("ordered/")).length).toBe(minVms);
    });
});
