import { once } from "node:events";
import type { IncomingMessage } from "node:http";
import { waitForPendingInput } from "../_lib/waitForPendingInput";
import type { Clock } from "../kernel/types";
import { waitWithTimeout } from "../kernel/waitWithTimeout";

/** Options of {@link drainRequest}. */
export interface DrainRequestOptions {
    readonly request: IncomingMessage;
    readonly clock: Clock;
    /** Time in which its body has to end, in milliseconds; no limit unless it is above 0. */
    readonly timeoutMs: number;
}

/**
 * Reads and drops the rest of a request that is answered without it. Closes the connection if it does not end in time.
 *
 * @param options - the request and the time limit
 */
export const drainRequest = async ({ request, clock, timeoutMs }: DrainRequestOptions): Promise<void> => {
    request.resume();
    await waitForPendingInput(); // mostly, the body has come with the head
    if (request.closed || request.complete || !(timeoutMs > 0)) {
        return;
    }
    const closed = once(request, "close").catch(() => []);
    if (!(await waitWithTimeout({ clock, promises: [closed], timeoutMs }))) {
        request.socket.destroy();
    }
};
