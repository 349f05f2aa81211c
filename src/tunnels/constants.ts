/** Header with the proof that a request for a tunnel comes from a member. */
export const tunnelProofHeader = "proxy-authorization";
