import { deflateRawSync } from "node:zlib";
import { encodeBody } from "./encodeBody";
import { decodeBody } from "./decodeBody";

describe("encodeBody", () => {
    it("leaves small values as they are", () => {
        expect(encodeBody({ text: "x".repeat(1_000) })).toBeUndefined();
    });

    it("packs large values for decodeBody", () => {
        const value = {
            routes: Array.from({ length: 2_000 }, (_, index) => ({ name: `r-${index}`, isOpen: false })),
        };
        const packed = encodeBody(value)!;
        expect(packed.length).toBeLessThan(20_000);
        expect(decodeBody(packed)).toEqual(value);
    });

    it("does not unpack what is larger than any value that is sent", () => {
        expect(() => decodeBody(deflateRawSync(Buffer.alloc(20_000_000)))).toThrow();
        expect(() => decodeBody(Buffer.from("no encoding"))).toThrow();
    });
});
