import type { Failure } from "./types";

/** Error that carries a {@link Failure}. */
export class FailureError extends Error {
    constructor(readonly failure: Failure) {
        super(`${failure.resultCode.name}: ${failure.message}`);
        this.name = "FailureError";
    }
}
