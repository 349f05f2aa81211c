import type { ServerResponse } from "node:http";
import { abortResponse } from "./abortResponse";

/**
 * Writes the last bytes of an incomplete response and ends it so that it does not look complete.
 *
 * @param response - the response, whose headers have been sent
 * @param text - the last bytes
 * @returns resolves when the bytes have been passed on, or cannot be any more
 */
export const breakOffResponse = (response: ServerResponse, text: string): Promise<void> =>
    new Promise(resolve => {
        response.write(text, () => {
            abortResponse(response);
            resolve();
        });
    });
