import { StandInResponse, StandInServer } from "../../standins/StandInServer";
import { HttpCloud } from "./HttpCloud";
import type { DutyStages } from "./types";

const request = {
    token: "t",
    service: "llm",
    dataCentre: "dc-a",
    machineClass: "gpu-a",
    market: "on-demand",
} as const;
const stages: DutyStages = {
    onConnected: async () => {},
    onWrite: () => {},
    signal: new AbortController().signal,
};

describe("answers to orders that do not say whether the order is carried out", () => {
    let server: StandInServer;
    let cloud: HttpCloud;
    let status: number;

    beforeEach(async () => {
        server = new StandInServer(() => new StandInResponse(status, {}));
        await server.start();
        cloud = new HttpCloud({ url: server.url, timeoutMs: 1_000 });
    });

    afterEach(async () => {
        await cloud.close();
        await server.stop();
    });

    it.each([500, 502, 504])("are not taken for a refusal of a VM with status %d", async value => {
        status = value;
        await expect(cloud.requestVm(request, stages)).rejects.toMatchObject({ effect: "unknown" });
    });

    it.each([500, 502, 504])("are not taken for the release of a VM with status %d", async value => {
        status = value;
        await expect(cloud.releaseVm("vm-1", stages)).rejects.toMatchObject({ effect: "unknown" });
    });
});
