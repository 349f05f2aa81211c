import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";
import { hopByHopHeaders } from "./hopByHopHeaders";

/**
 * Selects the headers of an upstream's response that are forwarded to the caller: all but
 * {@link hopByHopHeaders}. The sender of the forwarded response sets `content-length`.
 *
 * @param headers - headers of the upstream's response
 * @returns headers for the caller's response
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
