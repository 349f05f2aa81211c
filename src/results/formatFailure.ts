import type { Failure, RunState } from "./types";

/** JSON body of an error answer to a caller or operator. */
export interface FailureBody {
    readonly error: {
        readonly code: number;
        readonly name: string;
        readonly message: string;
        readonly run: RunState;
    };
}

/**
 * Converts a failure to the JSON body of an HTTP answer.
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
