import type { IncomingMessage } from "node:http";
import { ChunkBuffer } from "../_lib/ChunkBuffer";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";

const emptyBody = Buffer.alloc(0);

/**
 * Reads the body of a request.
 *
 * @param request - the incoming request
 * @param maxBytes - maximum size of the body in bytes
 * @returns the body
 * @throws FailureError when it is larger or the connection closes before its end
 */
export const readBody = (request: IncomingMessage, maxBytes: number): Promise<Buffer> => {
    if (
        request.headers["content-length"] === undefined && request.headers["transfer-encoding"] === undefined
    ) {
        request.resume();
        return Promise.resolve(emptyBody);
    }
    return new Promise((resolve, reject) => {
        const body = new ChunkBuffer();
        const refuse = (message: string): void =>
            reject(new FailureError(createFailure(resultCodes.bodyTooLarge, message)));
        const declaredBytes = Number(request.headers["content-length"] ?? 0);
        if (declaredBytes > maxBytes) {
            request.resume();
            refuse(`the body has ${declaredBytes} bytes; the limit is ${maxBytes} bytes`);
            return;
        }
        request.on("data", (chunk: Buffer) => {
            if (body.length + chunk.length > maxBytes) {
                body.clear();
                refuse(`the body is larger than the limit of ${maxBytes} bytes`);
                return;
            }
            body.append(chunk);
        });
        request.on("end", () => resolve(body.toBuffer()));
        request.on("error", reject);
        request.on("close", () => {
            if (!request.complete) {
                reject(
                    new FailureError(
                        createFailure(
                            resultCodes.badJson,
                            "the connection closed before the end of the body",
                        ),
                    ),
                );
            }
        });
    });
};
