import { isIpv4Endpoint } from "./isIpv4Endpoint";

describe("isIpv4Endpoint", () => {
    it("accepts an IPv4 address with a port", () => {
        expect(["10.0.0.1:1", "127.0.0.1:65535"].every(isIpv4Endpoint)).toBe(true);
    });

    it("rejects what no connection can be opened to", () => {
        const wrong = [
            "",
            ":",
            "10.0.0.1",
            "10.0.0.1:",
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0.1:1e3",
            "10.0.0.1: 80",
        ];
        const wrongHosts = [
            "10.0.0.256:80",
            "010.0.0.1:80",
            "10.0.0:80",
            "name:80",
            "[::1]:80",
            "10.0.0.1:80:80",
        ];
        expect([...wrong, ...wrongHosts].filter(isIpv4Endpoint)).toEqual([]);
    });
});
