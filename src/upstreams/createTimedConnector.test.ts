import { Socket } from "node:net";
import type { buildConnector } from "undici";
import { createTimedConnector } from "./createTimedConnector";

/** Creates a connector whose attempts get no answer. */
const createSilentConnector = (socket: Socket): buildConnector.connector => (_options, callback) => {
    socket.once("error", error => callback(error, null));
    return socket;
};

const target: buildConnector.Options = { hostname: "10.0.0.1", protocol: "http:", port: "80" };

describe("createTimedConnector", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    it("aborts a connection attempt without an answer exactly at its time-out", async () => {
        const outcomes: (Error | null)[] = [];
        const connect = createTimedConnector(400, createSilentConnector(new Socket()));
        connect(target, (...outcome) => {
            outcomes.push(outcome[0]);
        });
        await jest.advanceTimersByTimeAsync(399);
        expect(outcomes).toEqual([]);
        await jest.advanceTimersByTimeAsync(1);
        expect(outcomes.map(String)).toEqual([expect.stringContaining("400 ms")]);
    });

    it("does not close a connection that was established before the time-out", async () => {
        const socket = new Socket();
        const connect = createTimedConnector(400, (_options, callback) => {
            setTimeout(() => callback(null, socket), 10);
            return socket;
        });
        connect(target, () => {});
        await jest.advanceTimersByTimeAsync(1_000);
        expect(socket.destroyed).toBe(false);
    });
});
