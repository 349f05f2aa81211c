/** One promise that the demo shows. */
export interface DemoCheck {
    readonly promise: string;
    readonly held: boolean;
    readonly detail: string;
}

/** Collects the demo's checks and prints them as they come. */
export class DemoChecks {
    readonly checks: DemoCheck[] = [];

    constructor(private readonly quiet: boolean) {}

    get hasPassed(): boolean {
        return this.checks.every(check => check.held);
    }

    /** Adds a check. */
    record(promise: string, held: boolean, detail: string): void {
        this.checks.push({ promise, held, detail });
        if (!this.quiet) {
            console.log(`${held ? "held  " : "BROKEN"}  ${promise}: ${detail}`);
        }
    }
}
