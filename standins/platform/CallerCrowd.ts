import { connect, type Socket } from "node:net";

/** How the clients of a crowd behave. */
export interface CrowdMember {
    /** Bytes to send first, such as a request's head. */
    readonly head: string;
    /** Bytes to send again and again after it; default: none. */
    readonly piece?: string;
    /** Number of pieces; default 0. */
    readonly pieces?: number;
    /** Whether answers are read; default true. */
    readonly isReading?: boolean;
}

/** Clients of a node that send much, or half of it, and keep their connections open. */
export class CallerCrowd {
    private readonly sockets: Socket[] = [];

    /**
     * Opens connections and begins to send on them.
     *
     * @param address - host and port
     * @param member - what each client sends
     * @param count - number of clients
     */
    add(address: string, member: CrowdMember, count: number): void {
        const [host, port] = address.split(":");
        for (let index = 0; index < count; index += 1) {
            const socket = connect({ host, port: Number(port) });
            this.sockets.push(socket);
            socket.on("error", () => {});
            if (member.isReading === false) {
                socket.pause();
            }
            else {
                socket.resume();
            }
            socket.write(member.head);
            this.sendPieces(socket, member, 0);
        }
    }

    /** Closes all connections. */
    close(): void {
        this.sockets.forEach(socket => socket.destroy());
    }

    private sendPieces(socket: Socket, member: CrowdMember, sent: number): void {
        if (sent < (member.pieces ?? 0) && !socket.destroyed) {
            socket.write(member.piece!, error => {
                if (!error) {
                    this.sendPieces(socket, member, sent + 1);
                }
            });
        }
    }
}
