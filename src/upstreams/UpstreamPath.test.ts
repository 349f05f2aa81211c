import { Socket } from "node:net";
import { FakeClock } from "../kernel/FakeClock";
import { UpstreamPath, type UpstreamWay } from "./UpstreamPath";

const options = { hostname: "127.0.0.1", port: "1", protocol: "http:" };

describe("UpstreamPath", () => {
    const clock = new FakeClock();
    let direct: "open" | "refused" | "hanging";
    let hasTunnel: boolean;
    let isTunnelHanging: boolean;
    let tunnels: number;
    let attempts: number;
    let changes: UpstreamWay[];
    let path: UpstreamPath;

    beforeEach(() => {
        direct = "open";
        hasTunnel = true;
        isTunnelHanging = false;
        tunnels = 0;
        attempts = 0;
        changes = [];
        path = new UpstreamPath({
            address: "127.0.0.1:1",
            connect: (_options, callback) => {
                attempts += 1;
                if (direct === "open") {
                    callback(null, new Socket());
                }
                if (direct === "refused") {
                    callback(new Error("refused"), null);
                }
            },
            openTunnel: async () => {
                if (isTunnelHanging) {
                    return new Promise<Socket>(() => {});
                }
                if (!hasTunnel) {
                    throw new Error("no tunnel");
                }
                tunnels += 1;
                return new Socket();
            },
            timeoutMs: 400,
            clock,
            onChange: way => changes.push(way),
        });
    });

    const connect = (): Promise<Socket> =>
        new Promise((resolve, reject) => {
            path.connect(options, (...[error, socket]) => error ? reject(error) : resolve(socket));
        });

    it("opens no tunnel where the upstream is reached directly", async () => {
        await connect();
        expect([tunnels, changes]).toEqual([0, []]);
    });

    it.each(["refused", "hanging"] as const)(
        "goes through a member where a connection is %s, and stays there",
        async kind => {
            direct = kind;
            await connect();
            await connect();
            expect([tunnels, attempts, changes]).toEqual([2, 1, ["relayed"]]);
        },
    );

    it("fails with the error of its own attempt where no member reaches the upstream either", async () => {
        direct = "refused";
        hasTunnel = false;
        await expect(connect()).rejects.toThrow("refused");
        expect(path.way).toBe("direct");
    });

    it("fails in time where neither way leads to an answer, and tries directly first then", async () => {
        direct = "refused";
        await connect();
        isTunnelHanging = true;
        const startMs = performance.now();
        await expect(connect()).rejects.toThrow("no connection within 400 ms");
        expect(performance.now() - startMs).toBeLessThan(1_000);
        expect(path.way).toBe("direct");
    });

    it("goes directly again where a member no longer reaches the upstream", async () => {
        direct = "refused";
        await connect();
        direct = "open";
        hasTunnel = false;
        await connect();
        expect(changes).toEqual(["relayed", "direct"]);
    });

    it("probes from time to time whether the upstream is reached directly again", async () => {
        direct = "refused";
        await connect();
        path.tryDirectly();
        expect(attempts).toBe(1);
        await clock.advance(3_000);
        path.tryDirectly();
        path.tryDirectly();
        expect(attempts).toBe(2);
        await clock.advance(3_000);
        direct = "open";
        path.tryDirectly();
        await clock.advance(1);
        expect(changes).toEqual(["relayed", "direct"]);
        path.tryDirectly();
        expect(attempts).toBe(3);
    });
});
