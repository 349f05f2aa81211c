import { Socket } from "node:net";
import type { buildConnector } from "undici";
import { createTimedConnector } from "./createTimedConnector";

/** A connection attempt that gets no answer. */
const connectToNowhere = (socket: Socket): buildConnector.connector => (_options, callback) => {
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

    it("gives a connection attempt without an answer up after exactly its time", async () => {
        const outcomes: (Error | null)[] = [];
        const connect = createTimedConnector(400, connectToNowhere(new Socket()));
        connect(target, (...outcome) => {
            outcomes.push(outcome[0]);
        });
        await jest.advanceTimersByTimeAsync(399);
        expect(outcomes).toEqual([]);
        await jest.advanceTimersByTimeAsync(1);
        expect(outcomes.map(String)).toEqual([expect.stringContaining("400 ms")]);
    });

    it("leaves a connection alone that was made in time", async () => {
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
