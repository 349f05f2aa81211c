import { request } from "node:http";
import type { Socket } from "node:net";
import {
    lengthFraming,
    markedRequests,
    tunnelFramingHeader,
    tunnelProofHeader,
    tunnelRequestsHeader,
} from "./constants";
import { TunnelConnection } from "./TunnelConnection";

/** Options of {@link openTunnel}. */
export interface OpenTunnelOptions {
    /** Host and port at which the member takes requests of other members. */
    readonly member: string;
    /** Host and port of the upstream. */
    readonly target: string;
    readonly proof: string;
    /** In milliseconds. */
    readonly timeoutMs: number;
}

const connectedStatus = 200;

/**
 * Opens a connection to an upstream through another member.
 *
 * @param options - member, upstream and proof
 * @returns the connection to the upstream
 * @throws Error if the member or, from there, the upstream cannot be reached in time
 */
export const openTunnel = (
    { member, target, proof, timeoutMs }: OpenTunnelOptions,
): Promise<TunnelConnection> =>
    new Promise((resolve, reject) => {
        const [host, port] = member.split(":");
        const asked = request({
            host,
            port,
            method: "CONNECT",
            path: target,
            headers: {
                host: target,
                [tunnelProofHeader]: proof,
                [tunnelFramingHeader]: lengthFraming,
                [tunnelRequestsHeader]: markedRequests,
            },
            agent: false,
        });
        const timer = setTimeout(
            () => asked.destroy(new Error(`no tunnel through ${member} within ${timeoutMs} ms`)),
            timeoutMs,
        );
        asked.on("connect", (response, socket: Socket, head: Buffer) => {
            clearTimeout(timer);
            if (response.statusCode === connectedStatus) {
                socket.unshift(head);
                socket.setNoDelay(true);
                const isFramed = response.headers[tunnelFramingHeader] === lengthFraming;
                const areRequestsMarked = response.headers[tunnelRequestsHeader] === markedRequests;
                resolve(new TunnelConnection({ socket, member, isFramed, areRequestsMarked }));
                return;
            }
            socket.destroy();
            reject(new Error(`no tunnel through ${member}: status ${response.statusCode}`));
        });
        asked.on("error", error => {
            clearTimeout(timer);
            reject(error);
        });
        asked.end();
    });
