import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import type { EventLog } from "./EventLog";
import { eventKinds } from "./eventKinds";

/** Options of {@link Invariants}. */
export interface InvariantsOptions {
    readonly events: EventLog;
    /** Called for each broken invariant; tests make it fail the run. */
    readonly onBroken?: (name: string, detail: string) => void;
}

/** Checks the program's assertions and reports those that fail. */
export class Invariants {
    private readonly broken = new Map<string, number>();

    constructor(private readonly options: InvariantsOptions) {}

    /** Total number of failed assertions. */
    get brokenCount(): number {
        return [...this.broken.values()].reduce((sum, count) => sum + count, 0);
    }

    /**
     * Asserts a condition; when it fails, the request that relies on it stops.
     *
     * @param name - name of the invariant
     * @param holds - whether it holds
     * @param describe - creates the detail of a failure
     * @throws FailureError when the condition does not hold
     */
    assert(name: string, holds: boolean, describe: () => string): void {
        if (holds) {
            return;
        }
        const detail = describe();
        this.broken.set(name, (this.broken.get(name) ?? 0) + 1);
        this.options.events.emit(eventKinds.invariantBroken, { invariant: name, detail });
        this.options.onBroken?.(name, detail);
        throw new FailureError(createFailure(resultCodes.invariantBroken, `invariant "${name}": ${detail}`));
    }
}
