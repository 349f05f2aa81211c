/** Types of model requests. */

import type { Runner } from "../upstreams/Runner";
import type { EngineError } from "../upstreams/types";

/**
 * How an attempt ended. `silent`: the runner sent nothing for too long. `moved`: the request continues on
 * another runner or node.
 */
export type AttemptOutcome =
    | { readonly kind: "ended"; }
    | { readonly kind: "failed"; readonly error: EngineError; }
    | { readonly kind: "silent"; }
    | { readonly kind: "moved"; }
    | { readonly kind: "cancelled"; };

/** The attempt that a request has under way, or had last. */
export interface RunningAttempt {
    readonly runner: Runner;
    /** Monotonic time at which the runner last sent something, in milliseconds. */
    readonly lastActivityAtMs: number;
    /** Monotonic time of the runner's first batch, in milliseconds. */
    readonly firstBatchAtMs: number | undefined;
    /** Ends the attempt and cancels its stream at the runner. */
    stop(outcome: AttemptOutcome): void;
}
