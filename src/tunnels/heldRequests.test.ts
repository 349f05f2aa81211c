import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, Socket } from "node:net";
import { pause } from "../../standins/pause";
import { HoldingLink } from "../../standins/platform/HoldingLink";
import { SystemClock } from "../kernel/SystemClock";
import { UpstreamClient } from "../upstreams/UpstreamClient";
import type { UpstreamExchange } from "../upstreams/UpstreamExchange";
import { computeTunnelProof } from "./computeTunnelProof";
import { tunnelRequestsHeader } from "./constants";
import { openTunnel } from "./openTunnel";
import { TunnelServer } from "./TunnelServer";

const clusterKey = "key";
const nodeId = "node-1";
const timeoutMs = 2_000;
const settleMs = 50;
const longBytes = 4_000_000; // more than the sockets on the way take

describe("a request that is held up on the way to the member that relays it", () => {
    let members: Server;
    let link: HoldingLink;
    let upstream: Server;
    let tunnels: TunnelServer;
    let client: UpstreamClient;
    let isAccepting: boolean;
    let isOldMember: boolean;
    const receivedPaths: string[] = [];
    const receivedBytes: number[] = [];

    beforeEach(async () => {
        [isAccepting, isOldMember] = [true, false];
        receivedPaths.length = 0;
        receivedBytes.length = 0;
        upstream = createServer((request, response) => void serve(request, response));
        members = createServer();
        await Promise.all(
            [members, upstream].map(server => once(server.listen(0, "127.0.0.1"), "listening")),
        );
        link = new HoldingLink(toAddress(members));
        await link.start();
        tunnels = createTunnelServer();
        await tunnels.start();
        client = createClient();
    });

    afterEach(async () => {
        await client.close();
        await tunnels.stop();
        await link.stop();
        members.close();
        upstream.close();
    });

    const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        receivedPaths.push(request.url!);
        const chunks = await request.toArray() as Buffer[];
        receivedBytes.push(chunks.reduce((sum, { length }) => sum + length, 0));
        response.end();
    };

    const createTunnelServer = (): TunnelServer =>
        new TunnelServer({
            nodeId,
            network: {
                onTunnelRequest: listener =>
                    void members.on("connect", (request: IncomingMessage, socket: Socket) => {
                        if (isOldMember) {
                            delete request.headers[tunnelRequestsHeader];
                        }
                        listener(request, socket);
                    }),
            },
            readClusterKey: () => clusterKey,
            clock: new SystemClock(),
            isUpstream: () => true,
            isAccepting: () => isAccepting,
        });

    /** Creates a client that reaches the upstream only through the member. */
    const createClient = (): UpstreamClient => {
        const target = toAddress(upstream);
        const proof = computeTunnelProof({ clusterKey, nodeId, target });
        return new UpstreamClient({
            address: target,
            maxConnections: 1,
            connect: (_options, callback) => {
                setImmediate(() => callback(new Error("cut off"), null));
                return new Socket();
            },
            detour: {
                openTunnel: () => openTunnel({ member: link.address, target, proof, timeoutMs }),
                clock: new SystemClock(),
                onChange: () => {},
            },
        });
    };

    const send = (path: string, body?: Buffer): UpstreamExchange => {
        const length = body ? ["content-length", String(body.length)] : [];
        const exchange = client.send({ method: "POST", path, headers: ["host", "h", ...length], body });
        exchange.listen(() => {});
        return exchange;
    };

    const waitForHeldBytes = async (): Promise<void> => {
        while (link.heldBytes === 0) {
            await pause(1);
        }
    };

    // Guards against requests that reach an upstream long after the nodes know that it is leaving.
    it("does not reach an upstream that has been leaving meanwhile", async () => {
        expect(await send("/first").started).toMatchObject({ head: { status: 200 } });
        link.hold();
        const held = send("/held");
        await waitForHeldBytes();
        isAccepting = false;
        link.release();
        await held.started;
        await pause(settleMs);
        expect(receivedPaths).toEqual(["/first"]);
        expect(await held.started).toMatchObject({ kind: "failed", isSent: true });
        expect(tunnels.size).toBe(0);
    });

    it("reaches an upstream that still accepts requests", async () => {
        expect(await send("/first").started).toMatchObject({ head: { status: 200 } });
        link.hold();
        const held = send("/held");
        await waitForHeldBytes();
        link.release();
        expect(await held.started).toMatchObject({ head: { status: 200 } });
        expect(receivedPaths).toEqual(["/first", "/held"]);
    });

    // Guards against a request under way that is cut in its body since its upstream has begun to leave.
    it("is passed on to its end if it had begun before", async () => {
        const long = send("/long", Buffer.alloc(longBytes));
        while (receivedPaths.length === 0) {
            await pause(1);
        }
        isAccepting = false;
        expect(await long.started).toMatchObject({ head: { status: 200 } });
        expect(receivedBytes).toEqual([longBytes]);
    });

    it("is passed on by a member of an older version, which is told of no requests", async () => {
        isOldMember = true;
        expect(await send("/first", Buffer.alloc(longBytes)).started).toMatchObject({
            head: { status: 200 },
        });
        expect(await send("/second").started).toMatchObject({ head: { status: 200 } });
        expect(receivedBytes).toEqual([longBytes, 0]);
    });
});

const toAddress = (server: Server): string => `127.0.0.1:${(server.address() as AddressInfo).port}`;
