import type { IncomingMessage } from "node:http";
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
        const chunks: Buffer[] = [];
        let size = 0;
        const refuse = (message: string): void =>
            reject(new FailureError(createFailure(resultCodes.bodyTooLarge, message)));
        const declaredBytes = Number(request.headers["content-length"] ?? 0);
        if (declaredBytes > maxBytes) {
            request.resume();
            refuse(`the body has ${declaredBytes} bytes; the limit is ${maxBytes} bytes`);
            return;
        }
        request.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size > maxBytes) {
                chunks.length = 0;
                refuse(`the body is larger than the limit of ${maxBytes} bytes`);
                return;
            }
            chunks.push(chunk);
        });
        request.on("end", () => resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)));
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
