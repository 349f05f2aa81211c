import type { Socket } from "node:net";

/** How a connection ends after a part of an answer. */
export const cutEndings = { close: "close", reset: "reset", pause: "pause" } as const;

/** One of {@link cutEndings}: a regular end, a reset, or a regular end a moment later. */
export type CutEnding = typeof cutEndings[keyof typeof cutEndings];

const pauseMs = 4;

/**
 * Writes the first bytes of an answer and ends the connection.
 *
 * @param socket - the connection
 * @param bytes - the bytes to write
 * @param ending - how the connection ends
 */
export const writeCutAnswer = (socket: Socket, bytes: string, ending: CutEnding): void => {
    if (ending === cutEndings.close) {
        socket.end(bytes, "latin1");
        return;
    }
    socket.write(bytes, "latin1", () => {
        if (ending === cutEndings.reset) {
            socket.resetAndDestroy();
            return;
        }
        setTimeout(() => socket.end(), pauseMs);
    });
};
