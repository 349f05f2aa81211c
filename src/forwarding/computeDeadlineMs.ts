import type { AdmittedRequest } from "./admitRequest";

/**
 * Computes the deadline of a request: the time limit of its caller or of its route, whichever is shorter.
 *
 * @param admitted - the admitted request
 * @param arrivedMs - monotonic time of its arrival, in milliseconds
 * @returns monotonic time, in milliseconds
 */
export const computeDeadlineMs = (
    { metadata, route }: Pick<AdmittedRequest, "metadata" | "route">,
    arrivedMs: number,
): number => arrivedMs + Math.min(metadata.deadlineMs ?? Infinity, route.timeoutMs);
