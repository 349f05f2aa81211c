import { PassThrough } from "node:stream";
import { buffer } from "node:stream/consumers";
import fc from "fast-check";
import { TunnelFrameDecoder } from "./TunnelFrameDecoder";
import { TunnelFrameEncoder } from "./TunnelFrameEncoder";

const encode = (chunks: readonly Uint8Array[]): Promise<Buffer> => {
    const source = new PassThrough();
    const encoded = buffer(source.pipe(new TunnelFrameEncoder()));
    chunks.forEach(chunk => source.write(chunk));
    source.end();
    return encoded;
};

const splitAt = (bytes: Buffer, sizes: readonly number[]): Buffer[] => {
    const chunks: Buffer[] = [];
    let start = 0;
    for (const size of sizes) {
        chunks.push(bytes.subarray(start, start + size));
        start += size;
    }
    return [...chunks, bytes.subarray(start)];
};

describe("TunnelFrameDecoder", () => {
    const written = fc.array(fc.uint8Array({ minLength: 1, maxLength: 40 }));
    const sizes = fc.array(fc.integer({ min: 0, max: 9 }));

    it("returns the bytes that were encoded, and their end, wherever the chunks are split", async () => {
        await fc.assert(
            fc.asyncProperty(written, sizes, async (chunks, lengths) => {
                const decoder = new TunnelFrameDecoder();
                const decoded = splitAt(await encode(chunks), lengths)
                    .flatMap(chunk => [...decoder.decode(chunk)]);
                expect(Buffer.concat(decoded).equals(Buffer.concat(chunks))).toBe(true);
                expect(decoder.isEnded).toBe(true);
            }),
            { seed: 7 },
        );
    });

    it("is not at the end while a byte of the last frame is missing", async () => {
        await fc.assert(
            fc.asyncProperty(written, async chunks => {
                const decoder = new TunnelFrameDecoder();
                const decoded = [...decoder.decode((await encode(chunks)).subarray(0, -1))];
                expect(Buffer.concat(decoded).equals(Buffer.concat(chunks))).toBe(true);
                expect(decoder.isEnded).toBe(false);
            }),
            { seed: 7 },
        );
    });
});
