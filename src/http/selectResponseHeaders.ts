import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";
import { hopByHopHeaders } from "./hopByHopHeaders";

/**
 * Selects the headers of an upstream's answer that are passed on: all that do not concern its connection.
 *
 * @param headers - the upstream's headers
 * @returns headers for the caller; the length is set by the sender
 */
export const selectResponseHeaders = (headers: IncomingHttpHeaders): OutgoingHttpHeaders => {
    const selected: OutgoingHttpHeaders = {};
    for (const [name, value] of Object.entries(headers)) {
        if (!hopByHopHeaders.has(name)) {
            selected[name] = value;
        }
    }
    return selected;
};
