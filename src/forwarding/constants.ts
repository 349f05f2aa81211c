/** Reason for which a quarantined request, or one with a quarantined part of its prompt, is refused. */
export const quarantinedMessage = "upstreams crash under this request, or under a part of its prompt";
