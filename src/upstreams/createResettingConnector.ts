import type { buildConnector } from "undici";
import { resetOnError } from "./resetOnError";

/**
 * Creates a connector whose connections are reset when a program gives them up with an error, as {@link resetOnError} does.
 *
 * @param connect - opens the connection
 * @returns the connector
 */
export const createResettingConnector =
    (connect: buildConnector.connector): buildConnector.connector => (options, callback) =>
        connect(options, (...outcome) => {
            resetOnError(outcome[1]);
            callback(...outcome);
        });
