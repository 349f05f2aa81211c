import type { Readable } from "node:stream";
import { ChunkBuffer } from "../_lib/ChunkBuffer";

/** Bytes that several answers may take together while they are read. */
export interface ByteBudget {
    readonly maxBytes: number;
    usedBytes: number;
}

/** Options of {@link readAnswer}. */
export interface ReadAnswerOptions {
    /** Body of the answer, of which nothing has been read. */
    readonly body: Readable;
    readonly maxBytes: number;
    /** Default: no limit to all answers together. */
    readonly budget?: ByteBudget;
    /** Called for each piece that arrives. */
    readonly onProgress?: () => void;
}

/**
 * Reads the body of an answer, in chunks of any size, into one buffer.
 *
 * @param options - the body and its limits
 * @returns the body
 * @throws Error if it exceeds a limit or ends too early; the rest is not read
 */
export const readAnswer = ({ body, maxBytes, budget, onProgress }: ReadAnswerOptions): Promise<Buffer> =>
    new Promise((resolve, reject) => {
        const bytes = new ChunkBuffer();
        body.on("data", (chunk: Buffer) => {
            const isOverBudget = budget && budget.usedBytes + chunk.length > budget.maxBytes;
            if (isOverBudget || bytes.length + chunk.length > maxBytes) {
                body.destroy(
                    new Error(`the answer is larger than ${maxBytes} bytes, or than what is left for it`),
                );
                return;
            }
            bytes.append(chunk);
            onProgress?.();
            if (budget) {
                budget.usedBytes += chunk.length;
            }
        });
        body.on("end", () => resolve(bytes.toBuffer()));
        body.on("error", reject);
        body.on("close", () => {
            if (budget) {
                budget.usedBytes -= bytes.length;
            }
            reject(new Error("the answer was not read to its end")); // without effect if it was
        });
    });
