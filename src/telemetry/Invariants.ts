import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import type { EventLog } from "./EventLog";
import { eventKinds } from "./eventKinds";

/** Options of {@link Invariants}. */
export interface InvariantsOptions {
    readonly events: EventLog;
    /** Called for each violation, before the error is thrown; tests use it to fail the run. */
    readonly onBroken?: (name: string, detail: string) => void;
}

/** Checks invariants of the program, and logs and counts their violations. */
export class Invariants {
    /** Number of violations by name of the invariant. */
    private readonly brokenCounts = new Map<string, number>();

    constructor(private readonly options: InvariantsOptions) {}

    /** Total number of violations since the start. */
    get brokenCount(): number {
        return [...this.brokenCounts.values()].reduce((sum, count) => sum + count, 0);
    }

    /**
     * Asserts an invariant. A violation is thrown as an error, which ends the request or task that relies on the
     * invariant.
     *
     * @param name - name of the invariant
     * @param holds - whether the invariant holds
     * @param describe - describes the violation; called only if there is one
     * @throws FailureError if the invariant does not hold
     */
    assert(name: string, holds: boolean, describe: () => string): void {
        if (holds) {
            return;
        }
        const detail = describe();
        this.brokenCounts.set(name, (this.brokenCounts.get(name) ?? 0) + 1);
        this.options.events.emit(eventKinds.invariantBroken, { invariant: name, detail });
        this.options.onBroken?.(name, detail);
        throw new FailureError(
            createFailure(resultCodes.invariantBroken, `invariant "${name}" violated: ${detail}`),
        );
    }
}
