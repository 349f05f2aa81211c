import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ConnectionLimit } from "./ConnectionLimit";

class FakeSocket extends EventEmitter {
    bytesRead = 0;
    bytesWritten = 0;
    destroyed = false;

    destroy(): void {
        this.destroyed = true;
        this.emit("close");
    }
}

const stallMs = 600;
const unreadMs = 2_500;

describe("ConnectionLimit", () => {
    let nowMs: number;
    let limit: ConnectionLimit;

    beforeEach(() => {
        nowMs = 0;
        limit = new ConnectionLimit({ maxConnections: 2, readNowMs: () => nowMs });
    });

    const add = (): FakeSocket => {
        const socket = new FakeSocket();
        limit.add(socket as unknown as Socket);
        return socket;
    };

    const beginRequest = (
        socket: FakeSocket,
    ): EventEmitter & { writableEnded: boolean; closed: boolean; } => {
        const response = Object.assign(new EventEmitter(), { writableEnded: false, closed: false });
        const request = Object.assign(new EventEmitter(), { socket, complete: true });
        limit.track(request as unknown as IncomingMessage, response as unknown as ServerResponse);
        return response;
    };

    // Guards against clients that keep connections open for nothing and shut others out.
    it("closes the connection that has stood still longest for a new one", () => {
        const first = add();
        nowMs = 100;
        const second = add();
        nowMs = 100 + stallMs;
        const third = add();
        expect([first, second, third].map(({ destroyed }) => destroyed)).toEqual([true, false, false]);
        expect(limit.openCount).toBe(2);
        expect(limit.closedCount).toBe(1);
    });

    it("closes the new one while all others move or are worked on", () => {
        const busy = add();
        const moving = add();
        beginRequest(busy);
        nowMs = 10_000;
        moving.bytesRead = 2_000;
        expect(add().destroyed).toBe(true);
        expect([busy, moving].map(({ destroyed }) => destroyed)).toEqual([false, false]);
    });

    // Guards against a byte now and then that passes for progress.
    it("takes few bytes for no progress", () => {
        const slow = add();
        const busy = add();
        beginRequest(busy);
        nowMs = stallMs;
        slow.bytesRead = 3;
        expect(add().destroyed).toBe(false);
        expect(slow.destroyed).toBe(true);
    });

    it("closes a connection whose answers are written and not read, after a while", () => {
        const unread = add();
        const busy = add();
        beginRequest(unread).writableEnded = true;
        beginRequest(busy);
        nowMs = stallMs;
        expect(add().destroyed).toBe(true);
        nowMs = unreadMs;
        expect(add().destroyed).toBe(false);
        expect([unread, busy].map(({ destroyed }) => destroyed)).toEqual([true, false]);
    });
});
