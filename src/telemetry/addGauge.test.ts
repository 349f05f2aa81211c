import { Registry } from "prom-client";
import { addGauge } from "./addGauge";

describe("addGauge", () => {
    it("reads the values at each collection and removes labels without a value", async () => {
        const registry = new Registry();
        let loads = new Map([["app", 2], ["llm", 5]]);
        addGauge({
            registry,
            name: "load_requests",
            help: "Requests.",
            labelNames: ["service"],
            read: () => [...loads].map(([service, value]) => ({ labels: { service }, value })),
        });
        expect(await registry.metrics()).toContain(`load_requests{service="llm"} 5`);
        loads = new Map([["app", 3]]);
        const text = await registry.metrics();
        expect(text).toContain(`load_requests{service="app"} 3`);
        expect(text).not.toContain("llm");
    });
});
