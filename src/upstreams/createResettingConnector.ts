import { Socket } from "node:net";
import type { buildConnector } from "undici";

/**
 * Creates a connector whose connections are reset when a program gives them up with an error, as undici does with the
 * connection of an aborted call. The operating system delivers the bytes of a connection that was closed in order, however
 * late; a reset discards them.
 *
 * @param connect - opens the connection
 * @returns the connector
 */
export const createResettingConnector =
    (connect: buildConnector.connector): buildConnector.connector => (options, callback) =>
        connect(options, (...outcome) => {
            const [, socket] = outcome;
            if (socket instanceof Socket) {
                resetOnError(socket);
            }
            callback(...outcome);
        });

const resetOnError = (socket: Socket): void => {
    const destroy = socket.destroy.bind(socket);
    socket.destroy = error => {
        if (error === undefined || socket.destroyed || isSystemError(error)) {
            return destroy(error);
        }
        socket.destroy = destroy;
        socket.resetAndDestroy();
        process.nextTick(() => socket.emit("error", error));
        return socket;
    };
};

/** Whether the connection has failed by itself. */
const isSystemError = (error: NodeJS.ErrnoException): boolean => error.syscall !== undefined;
