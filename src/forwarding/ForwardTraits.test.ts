import { ForwardTraits, type ForwardTraitsOptions } from "./ForwardTraits";

const request = { method: "POST", url: "/plain/a?b=1", headers: { host: "host.example", "x-id": "1" } };
const options: ForwardTraitsOptions = {
    request,
    body: Buffer.from("body"),
    accountName: "alpha",
    partIds: ["a"],
};

const readIdentity = (changed: Partial<ForwardTraitsOptions>): string =>
    new ForwardTraits({ ...options, ...changed }).identity;

describe("ForwardTraits", () => {
    it("is equal for a request that comes again with other headers of its own", () => {
        const repeated = { ...request, headers: { host: "host.example", "x-id": "2" } };
        expect(readIdentity({ request: repeated, body: Buffer.from("body") })).toBe(readIdentity({}));
    });

    it("differs with the caller, the method, the host, the path, the body and the prompt", () => {
        const keys = [
            readIdentity({}),
            readIdentity({ accountName: "beta" }),
            readIdentity({ accountName: undefined }),
            readIdentity({ request: { ...request, method: "PUT" } }),
            readIdentity({ request: { ...request, headers: { host: "other.example" } } }),
            readIdentity({ request: { ...request, url: "/plain/a?b=2" } }),
            readIdentity({ body: Buffer.from("bodx") }),
            readIdentity({ partIds: ["b"] }),
        ];
        expect(new Set(keys).size).toBe(keys.length);
    });
});
