import type { buildConnector } from "undici";

const resetCode = "ECONNRESET";
const markedResetCode = "UPSTREAM_RESET";

/**
 * Creates a connector that changes the code of reset errors, since undici treats a reset as the regular end of an
 * answer.
 *
 * @param connect - opens the connection
 * @returns the connector
 */
export const createResetMarkingConnector =
    (connect: buildConnector.connector): buildConnector.connector => (options, callback) =>
        connect(options, (...outcome) => {
            outcome[1]?.prependListener("error", markReset);
            callback(...outcome);
        });

const markReset = (error: NodeJS.ErrnoException): void => {
    error.code = error.code === resetCode ? markedResetCode : error.code;
};
