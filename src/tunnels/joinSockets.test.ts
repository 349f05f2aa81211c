import { once } from "node:events";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { joinSockets } from "./joinSockets";

/** Connection that takes all bytes, and from which those that are pushed arrive. */
class FakeSocket extends Duplex {
    remoteAddress: string | undefined = "127.0.0.1";
    readonly resetAndDestroy = jest.fn(() => this.destroy());
    readonly setNoDelay = jest.fn();

    constructor() {
        super({ read: () => {}, write: (_chunk, _encoding, callback) => callback() });
    }
}

const toSocket = (socket: FakeSocket): Socket => socket as unknown as Socket;

describe("joinSockets", () => {
    let near: FakeSocket;
    let far: FakeSocket;

    const join = (isFramed: boolean): void => {
        near = new FakeSocket();
        far = new FakeSocket();
        joinSockets({ near: toSocket(near), far: toSocket(far), isFramed, onBytes: () => {} });
    };

    // Guards against a reset of the upstream that shows as an end and is passed on as the regular end of an answer.
    it.each([true, false])(
        "resets the near connection where the far one was reset; frames: %s",
        async isFramed => {
            join(isFramed);
            far.remoteAddress = undefined;
            far.push(null);
            await once(far, "end");
            expect(near.resetAndDestroy).toHaveBeenCalledTimes(1);
        },
    );

    it.each([true, false])("ends the near connection where the far one ended; frames: %s", async isFramed => {
        join(isFramed);
        far.push(null);
        await once(near, "finish");
        expect(near.resetAndDestroy).not.toHaveBeenCalled();
    });

    // Guards against requests that an upstream gets whole, and runs, after their node has given them up.
    it.each([true, false])(
        "resets the far connection where the near one was reset; frames: %s",
        async isFramed => {
            join(isFramed);
            near.destroy(new Error("read ECONNRESET"));
            await once(far, "close");
            expect(far.resetAndDestroy).toHaveBeenCalledTimes(1);
        },
    );
});
