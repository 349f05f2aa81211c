import { EngineStandIn } from "../../standins/EngineStandIn";
import { CloudStandIn } from "../../standins/CloudStandIn";
import { HttpCloud } from "../../src/platform/HttpCloud";
import { HttpEngineClient } from "../../src/upstreams/HttpEngineClient";
import { fitLine } from "./fitLine";
import { readOwnUsage } from "./measureOwnUsage";
import type { LinearFit, MeasuredPoint } from "./types";

const pollCounts: readonly number[] = [200, 400, 800];
const vmCounts: readonly number[] = [100, 400, 1_260];
const vmListPolls = 20;
const httpHeadBytes = 260; // request line, status line and headers of one load poll, both ways

/** Measures load polls and VM list polls. The CPU time includes the stand-in's share and is thus an upper bound. */
export const measurePolling = async (): Promise<
    LinearFit[]
> => [...await measureLoadPolls(), ...await measureVmList()];

const measureLoadPolls = async (): Promise<LinearFit[]> => {
    const engine = new EngineStandIn();
    await engine.server.start();
    const client = new HttpEngineClient({ url: engine.server.url, timeoutMs: 1_000 });
    const points: MeasuredPoint[] = [];
    let bytes = 0;
    await client.readLoad();
    for (const size of pollCounts) {
        const before = readOwnUsage().cpuMicroseconds;
        for (let poll = 0; poll < size; poll += 1) {
            bytes = JSON.stringify(await client.readLoad()).length + httpHeadBytes;
        }
        points.push({ size, value: readOwnUsage().cpuMicroseconds - before });
    }
    await client.close();
    await engine.stop();
    const byteLine = fitLine(
        "load poll bytes, both ways",
        "poll",
        pollCounts.map(size => ({ size, value: size * bytes })),
    );
    return [fitLine("load poll processor microseconds", "poll", points), byteLine];
};

const measureVmList = async (): Promise<LinearFit[]> => {
    const cpu: MeasuredPoint[] = [];
    const bytes: MeasuredPoint[] = [];
    for (const size of vmCounts) {
        const cloud = new CloudStandIn({ listLagMs: 0 });
        await cloud.server.start();
        for (let index = 0; index < size; index += 1) {
            cloud.addVm({
                id: `vm-bhatti-llm-${index}`,
                role: "upstream",
                service: "bhatti-llm",
                dataCentre: `guj-west-${index % 5}`,
                url: `http://10.0.0.${index % 250}:8080`,
                state: "live",
                market: "reclaimable",
                machineClass: "gpu-a",
            });
        }
        const client = new HttpCloud({ url: cloud.server.url, timeoutMs: 5_000 });
        const list = await client.listVms();
        const before = readOwnUsage().cpuMicroseconds;
        for (let poll = 0; poll < vmListPolls; poll += 1) {
            await client.listVms();
        }
        cpu.push({ size, value: (readOwnUsage().cpuMicroseconds - before) / vmListPolls });
        bytes.push({ size, value: JSON.stringify(list).length });
        await client.close();
        await cloud.stop();
    }
    return [
        fitLine("VM list poll processor microseconds", "VM", cpu),
        fitLine("VM list bytes", "VM", bytes),
    ];
};
