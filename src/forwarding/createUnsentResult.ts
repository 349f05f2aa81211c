import type { FailedAttemptResult } from "./types";

/** Creates the result of an attempt of which nothing was sent. */
export const createUnsentResult = (message: string): FailedAttemptResult => ({
    kind: "failed",
    isSent: false,
    isNotRun: true,
    message,
});
