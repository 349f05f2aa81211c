import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";

/**
 * Finds free loopback ports. Another process may take a port before the caller listens on it.
 *
 * @param count - number of addresses
 * @returns addresses as `host:port`
 */
export const findFreeAddresses = async (count: number): Promise<string[]> => {
    const servers = await Promise.all(Array.from({ length: count }, listenOnFreePort));
    const addresses = servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return addresses;
};

const listenOnFreePort = (): Promise<Server> =>
    new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => resolve(server));
    });
