import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { pauseProcess } from "../../standins/pauseProcess";
import { SystemClock } from "../kernel/SystemClock";
import { waitForInput } from "./waitForInput";

const timeoutMs = 50;
const heldUpMs = 100;

describe("waitForInput", () => {
    let server: Server;
    let near: Socket;
    let far: Socket;

    beforeEach(async () => {
        server = createServer().listen(0, "127.0.0.1");
        await once(server, "listening");
        near = connect((server.address() as AddressInfo).port, "127.0.0.1");
        [far] = await once(server, "connection") as [Socket];
    });

    afterEach(() => {
        near.destroy();
        far.destroy();
        server.close();
    });

    const waitForData = (): Promise<unknown> =>
        waitForInput({ clock: new SystemClock(), promises: [once(near, "data")], timeoutMs });

    // Guards against upstreams that count as silent since the node was held up.
    it("returns what arrived before a time-out that the process was too late for", async () => {
        const waiting = waitForData();
        far.write("x");
        pauseProcess(heldUpMs);
        expect(await waiting).toEqual([Buffer.from("x")]);
    });

    it("returns undefined after the time limit if nothing has arrived", async () => {
        expect(await waitForData()).toBeUndefined();
    });
});
