import { createServer } from "node:net";
import { findFreeAddresses } from "./findFreeAddresses";

describe("findFreeAddresses", () => {
    it("returns each port once, also when calls overlap", async () => {
        const found = (await Promise.all(Array.from({ length: 20 }, () => findFreeAddresses(5)))).flat();
        expect(new Set(found).size).toBe(100);
    });

    it("returns ports on which a server can listen, outside the range that is assigned to others", async () => {
        const [address] = await findFreeAddresses(1);
        const port = Number(address.split(":")[1]);
        expect(port).toBeLessThan(32_000);
        const server = createServer();
        await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
        await new Promise(resolve => server.close(resolve));
    });
});
