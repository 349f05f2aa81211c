/** Headers that concern one connection only, and the length, which the sender sets; in lower case. */
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
