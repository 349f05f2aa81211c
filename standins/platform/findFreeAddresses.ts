import { createSocket } from "node:dgram";
import { createServer } from "node:net";

const firstPort = 20_000;
const portCount = 12_000; // up to 32,000, below the ports that operating systems assign by themselves
const portStep = 7; // no divisor of the number of ports, so that every port is tried
let nextOffset = process.pid * 97;

/**
 * Finds free loopback ports and reserves them for this process until it ends, so that no other process that uses this
 * function gets them.
 *
 * @param count - number of addresses
 * @returns addresses as `host:port`
 * @throws Error when too few ports are free
 */
export const findFreeAddresses = async (count: number): Promise<string[]> => {
    const addresses: string[] = [];
    for (let tries = 0; addresses.length < count && tries < portCount; tries += 1) {
        nextOffset = (nextOffset + portStep) % portCount;
        const port = firstPort + nextOffset;
        if (await reservePort(port) && await isFree(port)) {
            addresses.push(`127.0.0.1:${port}`);
        }
    }
    if (addresses.length < count) {
        throw new Error(`only ${addresses.length} of ${count} ports are free`);
    }
    return addresses;
};

/** Reserves a port by a UDP socket on the same number, which leaves the TCP port free to listen on. */
const reservePort = (port: number): Promise<boolean> =>
    new Promise(resolve => {
        const socket = createSocket("udp4").unref();
        socket.once("error", () => {
            socket.close();
            resolve(false);
        });
        socket.bind({ port, address: "127.0.0.1", exclusive: true }, () => resolve(true));
    });

const isFree = (port: number): Promise<boolean> =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
