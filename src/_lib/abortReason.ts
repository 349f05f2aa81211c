/**
 * Shared reason for aborts whose reason is never read. Without one, each `abort()` creates an exception with a stack
 * trace, which took 5 % of a node's CPU time.
 */
export const abortReason = new Error("no longer needed");
