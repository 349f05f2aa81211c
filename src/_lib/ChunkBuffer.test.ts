import fc from "fast-check";
import { ChunkBuffer } from "./ChunkBuffer";

describe("ChunkBuffer", () => {
    it("returns all bytes and the last ones, for chunks of any size", () => {
        const sizes = fc.array(
            fc.oneof(fc.integer({ min: 0, max: 9 }), fc.integer({ min: 0, max: 200_000 })),
        );
        fc.assert(
            fc.property(sizes, fc.integer({ min: 1, max: 5 }), (lengths, count) => {
                const buffer = new ChunkBuffer();
                const chunks = lengths.map((length, index) => Buffer.alloc(length, index));
                chunks.forEach(chunk => buffer.append(chunk));
                const whole = Buffer.concat(chunks);
                expect(buffer.length).toBe(whole.length);
                expect(buffer.toBuffer().equals(whole)).toBe(true);
                expect(buffer.readEnd(count).equals(whole.subarray(-count))).toBe(true);
                buffer.clear();
                expect(buffer.toBuffer()).toHaveLength(0);
                expect(buffer.readEnd(count)).toHaveLength(0);
            }),
            { seed: 5 },
        );
    });

    it("does not copy a single chunk", () => {
        const buffer = new ChunkBuffer();
        const chunk = Buffer.from("chunk");
        buffer.append(chunk);
        expect(buffer.toBuffer()).toBe(chunk);
    });
});
