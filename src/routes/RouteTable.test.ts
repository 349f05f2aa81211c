import { SeededRandom } from "../kernel/SeededRandom";
import { chooseTarget } from "./chooseTarget";
import { RouteTable } from "./RouteTable";
import type { Route, ServingConfiguration } from "./types";

const createRoute = (name: string, host: string, pathPrefix: string): Route => ({
    name,
    host,
    pathPrefix,
    retryRule: "once",
    isStream: false,
    timeoutMs: 1_000,
    targetLatencyMs: 100,
    priority: 0,
    maxRuns: 1,
    targets: [{ service: "app", weight: 1 }],
    isAuthExempt: false,
});

const configuration: ServingConfiguration = {
    version: 3,
    routes: [
        createRoute("short", "one.example", "/a/"),
        createRoute("long", "one.example", "/a/b/"),
        createRoute("other", "two.example", "/"),
    ],
    services: [{ name: "app", maxConnections: 10 }],
    accounts: [{ name: "alpha", keys: ["k1", "k2"] }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

describe("RouteTable", () => {
    const table = new RouteTable(configuration);

    it("finds the route of the host with the longest matching prefix", () => {
        expect(table.findRoute("one.example", "/a/b/c?x=1")?.name).toBe("long");
        expect(table.findRoute("ONE.example:8080", "/a/c")?.name).toBe("short");
        expect(table.findRoute("two.example", "/a/b/")?.name).toBe("other");
    });

    it("finds no route for another host, another path or a prefix without its trailing slash", () => {
        expect(table.findRoute("three.example", "/a/")).toBeUndefined();
        expect(table.findRoute("one.example", "/b/")).toBeUndefined();
        expect(table.findRoute("one.example", "/a")).toBeUndefined();
    });

    it("finds an account by each of its keys", () => {
        expect(table.findAccount("k1")?.keys).toEqual(["k1", "k2"]);
        expect(table.findAccount("k2")?.name).toBe("alpha");
        expect(table.findAccount("k3")).toBeUndefined();
    });
});

describe("chooseTarget", () => {
    it("chooses in proportion to the weights and never a target with weight 0", () => {
        const random = new SeededRandom(5);
        const targets = [{ service: "a", weight: 90 }, { service: "b", weight: 10 }, {
            service: "c",
            weight: 0,
        }];
        const counts = new Map<string, number>();
        for (let index = 0; index < 2_000; index += 1) {
            const chosen = chooseTarget(targets, random)!;
            counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
        }
        expect(counts.get("a")! / 2_000).toBeCloseTo(0.9, 1);
        expect(counts.get("c")).toBeUndefined();
        expect(chooseTarget([], random)).toBeUndefined();
    });
});
