import { parseSettings } from "./parseSettings";

const validSettings = {
    nodeId: "entry-1",
    region: "guj-west",
    dataCentre: "guj-west-a",
    callers: { host: "127.0.0.1", port: 0 },
    peers: { host: "127.0.0.1", port: 0 },
    clusterKey: "0123456789abcdef",
    operatorTokenHashes: ["a".repeat(64)],
    platform: { tables: "http://127.0.0.1:1", objects: "http://127.0.0.1:2", cloud: "http://127.0.0.1:3" },
};

describe("parseSettings", () => {
    it("fills in defaults", () => {
        const settings = parseSettings(JSON.stringify(validSettings)).unsafeCoerce();
        expect(settings.timing.heartbeatMs).toBe(500);
        expect(settings.limits.maxBodyBytes).toBe(1_048_576);
    });

    it("names the path of an unknown field", () => {
        const text = JSON.stringify({ ...validSettings, timing: { heartbeatMS: 5 } });
        const failure = parseSettings(text).swap().unsafeCoerce();
        expect(failure.resultCode.name).toBe("invalid-settings");
        expect(failure.message).toContain("timing.heartbeatMS");
    });

    it("lists every problem", () => {
        const text = JSON.stringify({ ...validSettings, nodeId: "NOT OK", clusterKey: "short" });
        const failure = parseSettings(text).swap().unsafeCoerce();
        expect(failure.message).toContain("nodeId: expected lower-case letters");
        expect(failure.message).toContain("clusterKey: expected at least 16 characters");
    });

    it("reports text that is not JSON", () => {
        expect(parseSettings("{").swap().unsafeCoerce().resultCode.name).toBe("bad-json");
    });
});
