import { countJsonFields } from "./countJsonFields";

describe("countJsonFields", () => {
    it.each([
        ["{}", 1],
        ["{\"a\":1,\"b\":[2,3]}", 4],
        ["{\"a\":\"x,[{,\"}", 1],
        ["{\"a\":\"\\\",\\\\\",\"b\":1}", 2],
        ["\"never closed, [", 0],
    ])("counts fields and elements outside of strings: %s", (text, count) => {
        expect(countJsonFields(Buffer.from(text))).toBe(count);
    });
});
