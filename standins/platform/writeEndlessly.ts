import type { Socket } from "node:net";

/**
 * Writes the same bytes to a connection until the other side closes it.
 *
 * @param socket - the connection
 * @param head - bytes to write first
 * @param chunk - bytes to repeat
 * @param onWritten - called with the size of each chunk that was handed to the system
 */
export const writeEndlessly = (
    socket: Socket,
    head: string,
    chunk: string,
    onWritten: (bytes: number) => void,
): void => {
    socket.write(head);
    const repeat = (): void => {
        if (socket.destroyed) {
            return;
        }
        socket.write(chunk, error => {
            if (!error) {
                onWritten(chunk.length);
                setImmediate(repeat);
            }
        });
    };
    repeat();
};
