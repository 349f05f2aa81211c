import type { Failure } from "./types";

/** Carries a failure through code that throws. */
export class FailureError extends Error {
    constructor(readonly failure: Failure) {
        super(`${failure.resultCode.name}: ${failure.message}`);
        this.name = "FailureError";
    }
}
