import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { CloudStandIn } from "../../standins/CloudStandIn";
import { HttpCloud } from "./HttpCloud";
import type { DutyStages, Vm } from "./types";

const vm: Vm = {
    id: "vm-1",
    role: "upstream",
    service: "llm",
    dataCentre: "dc-a",
    url: "http://127.0.0.1:1",
    state: "live",
    market: "on-demand",
    machineClass: "gpu-a",
};
const request = {
    token: "t",
    service: "llm",
    dataCentre: "dc-a",
    machineClass: "gpu-a",
    market: "on-demand",
} as const;

describe("HttpCloud", () => {
    let standIn: CloudStandIn;
    let cloud: HttpCloud;
    let isHeld: boolean;
    let stages: DutyStages;

    beforeEach(async () => {
        isHeld = true;
        standIn = new CloudStandIn({ createVm: async () => vm });
        await standIn.server.start();
        cloud = new HttpCloud({ url: standIn.server.url, timeoutMs: 1_000 });
        stages = {
            onConnected: async () => {
                if (!isHeld) {
                    throw new Error("the lease is no longer held");
                }
            },
            onWrite: () => {},
            signal: new AbortController().signal,
        };
    });

    afterEach(async () => {
        await cloud.close();
        await standIn.stop();
    });

    it("orders and releases a VM under a lease that the store confirms", async () => {
        expect(await cloud.requestVm(request, stages)).toMatchObject({ id: vm.id });
        expect(standIn.isLive(vm.id)).toBe(true);
        await cloud.releaseVm(vm.id, stages);
        expect(standIn.isLive(vm.id)).toBe(false);
    });

    it("neither orders nor releases a VM when the lease is no longer held once the connection is open", async () => {
        standIn.addVm(vm);
        isHeld = false;
        await expect(cloud.requestVm({ ...request, token: "u" }, stages)).rejects.toMatchObject({
            effect: "none",
        });
        await expect(cloud.releaseVm(vm.id, stages)).rejects.toMatchObject({ effect: "none" });
        expect(standIn.isLive(vm.id)).toBe(true);
    });

    // Guards against VMs that are ordered anew, or no longer released, after an answer that does not say what was done.
    it("does not take an order that the cloud fails at for refused or carried out", async () => {
        const failing = createServer((_request, response) => response.writeHead(500).end("{}"));
        await once(failing.listen(0, "127.0.0.1"), "listening");
        const { port } = failing.address() as AddressInfo;
        const client = new HttpCloud({ url: `http://127.0.0.1:${port}`, timeoutMs: 1_000 });
        await expect(client.requestVm(request, stages)).rejects.toMatchObject({ effect: "unknown" });
        await expect(client.releaseVm(vm.id, stages)).rejects.toMatchObject({ effect: "unknown" });
        await client.close();
        failing.close();
    });
});
