import type { Socket } from "node:net";
import { buildConnector } from "undici";

/**
 * Creates a connector with an exact connect time-out. undici's own time-out is late by up to a second, and aborting a
 * call does not abort its connection attempt.
 *
 * @param timeoutMs - time-out of a connection attempt, in milliseconds
 * @param connect - opens the connection; default: undici's connector without a time-out
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
