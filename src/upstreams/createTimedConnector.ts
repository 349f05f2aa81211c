import type { Socket } from "node:net";
import { buildConnector } from "undici";

/**
 * Creates a connector that gives an attempt up after exactly its time. The library's own timeout is coarse by up to a
 * second, and aborting a call does not end its attempt to connect.
 *
 * @param timeoutMs - longest wait for a connection, in milliseconds
 * @param connect - makes the connection; default: the library's connector without a timeout
 * @returns the connector
 */
export const createTimedConnector = (
    timeoutMs: number,
    connect: buildConnector.connector = buildConnector({ timeout: 0 }),
): buildConnector.connector =>
(options, callback) => {
    const attempt = connect(options, (...outcome) => {
        clearTimeout(timer);
        callback(...outcome);
    }) as unknown as Socket;
    const timer = setTimeout(
        () => attempt.destroy(new Error(`no connection within ${timeoutMs} ms`)),
        timeoutMs,
    );
    return attempt;
};
