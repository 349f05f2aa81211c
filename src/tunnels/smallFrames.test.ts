import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import type { Readable } from "node:stream";
import { pause } from "../../standins/pause";
import { encodeFrameLength } from "./encodeFrameLength";
import { TunnelConnection } from "./TunnelConnection";
import { TunnelRequestDecoder } from "./TunnelRequestDecoder";

const digits = Array.from({ length: 10_000 }, (_unused, index) => String(index % 10)).join("");
const maxParts = 100; // bytes may arrive in several reads
const frames = Buffer.concat([...digits].flatMap(digit => [encodeFrameLength(1), Buffer.from(digit)]));

// Guards against a member that occupies another by frames of a few bytes, each of which is passed on by itself.
describe("many small frames of a tunnel", () => {
    let server: Server;
    let sockets: Socket[];

    beforeEach(async () => {
        sockets = [];
        server = createServer(socket => {
            sockets.push(socket);
            socket.write(frames);
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    });

    afterEach(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });

    const expectFewParts = async (stream: Readable): Promise<void> => {
        const parts: string[] = [];
        stream.on("data", (chunk: Buffer) => parts.push(chunk.toString("latin1")));
        while (parts.join("").length < digits.length) {
            await pause(2);
        }
        expect(parts.join("")).toBe(digits);
        expect(parts.length).toBeLessThan(maxParts);
    };

    const open = (): Socket => {
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        sockets.push(socket);
        return socket;
    };

    it("reach the upstream in few parts", () =>
        expectFewParts(open().pipe(new TunnelRequestDecoder(() => true))));

    it("reach the node that asked for the tunnel in few parts", async () => {
        const connection = new TunnelConnection({
            socket: open(),
            member: "member",
            isFramed: true,
            areRequestsMarked: true,
        });
        await expectFewParts(connection);
        connection.destroy();
    });
});
