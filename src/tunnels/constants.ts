/** Header with the proof that a request for a tunnel comes from a member. */
export const tunnelProofHeader = "proxy-authorization";

/**
 * Header with the framing of the bytes from the upstream: the node that asks names the one it reads, the member repeats it
 * if it writes it. Members of older versions ignore the header and pass the bytes on as they are.
 */
export const tunnelFramingHeader = "tunnel-framing";

/**
 * Header with which the node that asks says that it marks the beginning of each request, and the member that it asks then
 * whether the upstream still accepts requests. Bytes to the member are in frames then; those without bytes are the marks.
 * Members of older versions ignore the header.
 */
export const tunnelRequestsHeader = "tunnel-requests";

/** Value of the header where requests are marked. */
export const markedRequests = "marked";

/** Framing with frames of a length and as many bytes; a frame without bytes marks the regular end of the upstream's bytes. */
export const lengthFraming = "length";

/** Length of the number that begins a frame, in bytes. */
export const frameLengthBytes = 4;
