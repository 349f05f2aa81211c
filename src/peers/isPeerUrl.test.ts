import { isPeerUrl } from "./isPeerUrl";

describe("isPeerUrl", () => {
    it.each(["ws://10.0.0.1:7000", "ws://one", "wss://one:443/path"])("accepts %s", text => {
        expect(isPeerUrl(text)).toBe(true);
    });

    it.each([
        "",
        "10.0.0.1:7000",
        "http://10.0.0.1:7000",
        "ws://10.0.0.1:0",
        "ws://10.0.0.1:65536",
        "ws://10.0.0.1:99999",
        "ws://10.0.0.1:-1",
        "ws://10.0.0.1:1.5",
        "ws://10.0.0.1:7000#part",
        "ws://999.1.1.1:7000",
        "ws://",
    ])("rejects %p", text => {
        expect(isPeerUrl(text)).toBe(false);
    });
});
