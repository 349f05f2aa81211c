/** Reason for which a request with a quarantined part of its prompt is refused. */
export const quarantinedMessage = "upstreams crash under requests with a part of this prompt";
