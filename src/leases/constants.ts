/** Share of a call's time-out within which it is written after its confirmation; the rest is left for the call itself. */
export const confirmationShare = 0.5;
