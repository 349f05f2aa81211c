import type { Failure, RunState } from "./types";

/** Body of a refusal, as callers and operators receive it. */
export interface FailureBody {
    readonly error: {
        readonly code: number;
        readonly name: string;
        readonly message: string;
        readonly run: RunState;
    };
}

/**
 * Formats a failure as the body of an HTTP answer.
 *
 * @param failure - the failure
 * @returns the body
 */
export const formatFailure = (failure: Failure): FailureBody => ({
    error: {
        code: failure.resultCode.code,
        name: failure.resultCode.name,
        message: failure.message,
        run: failure.run ?? failure.resultCode.run,
    },
});
