/** Outcome of checking one guarantee of the system. */
export interface DemoCheck {
    readonly promise: string;
    readonly held: boolean;
    readonly detail: string;
}

/** Collects the outcomes of the demo's checks, and prints each one unless quiet. */
export class DemoChecks {
    readonly checks: DemoCheck[] = [];

    constructor(private readonly isQuiet: boolean) {}

    /** Whether all checks passed so far. */
    get hasPassed(): boolean {
        return this.checks.every(check => check.held);
    }

    /** Records the outcome of a check. */
    record(promise: string, held: boolean, detail: string): void {
        this.checks.push({ promise, held, detail });
        if (!this.isQuiet) {
            console.log(`${held ? "held  " : "BROKEN"}  ${promise}: ${detail}`);
        }
    }
}
