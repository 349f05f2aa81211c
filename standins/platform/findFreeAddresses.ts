import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";

/**
 * Finds loopback addresses on which nothing listens.
 *
 * @param count - how many
 * @returns hosts and ports
 */
export const findFreeAddresses = async (count: number): Promise<string[]> => {
    const servers = await Promise.all(Array.from({ length: count }, openServer));
    const addresses = servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return addresses;
};

const openServer = (): Promise<Server> =>
    new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => resolve(server));
    });
