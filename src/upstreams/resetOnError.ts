import { Socket } from "node:net";

/**
 * Lets a connection be reset when the program gives it up with an error, as undici does with the connection of an aborted
 * call. The operating system delivers the bytes of a connection that was closed in order, however late; a reset discards
 * those that have not left. Other streams than sockets are left as they are.
 *
 * @param socket - the connection
 */
export const resetOnError = (socket: unknown): void => {
    if (!(socket instanceof Socket)) {
        return;
    }
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
