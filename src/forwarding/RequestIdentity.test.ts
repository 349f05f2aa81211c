import { RequestIdentity, type RequestIdentityOptions } from "./RequestIdentity";

const request = { method: "POST", url: "/plain/a?b=1", headers: { host: "host.example", "x-id": "1" } };
const options: RequestIdentityOptions = {
    request,
    body: Buffer.from("body"),
    accountName: "alpha",
    sharedParts: ["a"],
};

const readKey = (changed: Partial<RequestIdentityOptions>): string =>
    new RequestIdentity({ ...options, ...changed }).key;

describe("RequestIdentity", () => {
    it("is equal for a request that comes again with other headers of its own", () => {
        const repeated = { ...request, headers: { host: "host.example", "x-id": "2" } };
        expect(readKey({ request: repeated, body: Buffer.from("body") })).toBe(readKey({}));
    });

    it("differs with the caller, the method, the host, the path, the body and the prompt", () => {
        const keys = [
            readKey({}),
            readKey({ accountName: "beta" }),
            readKey({ accountName: undefined }),
            readKey({ request: { ...request, method: "PUT" } }),
            readKey({ request: { ...request, headers: { host: "other.example" } } }),
            readKey({ request: { ...request, url: "/plain/a?b=2" } }),
            readKey({ body: Buffer.from("bodx") }),
            readKey({ sharedParts: ["b"] }),
        ];
        expect(new Set(keys).size).toBe(keys.length);
    });
});
