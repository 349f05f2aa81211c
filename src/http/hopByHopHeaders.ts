/**
 * Lower-case names of the headers that a proxy does not forward: hop-by-hop headers, and `content-length`, which the
 * sender of the forwarded message sets.
 */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);
