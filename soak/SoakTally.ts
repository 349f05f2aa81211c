/** Counts and violations of a soak run. */
export class SoakTally {
    readonly counts = new Map<string, number>();
    readonly violations: string[] = [];

    /** Adds one to a count. */
    count(name: string): void {
        this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
    }

    /** Reads a count. */
    read(name: string): number {
        return this.counts.get(name) ?? 0;
    }

    /** Records a broken promise. */
    fail(promise: string, detail: string): void {
        this.violations.push(`${promise}: ${detail}`);
        process.stderr.write(`VIOLATION ${promise}: ${detail}\n`);
    }

    /** Records a broken promise unless it holds. */
    check(promise: string, holds: boolean, describe: () => string): void {
        if (!holds) {
            this.fail(promise, describe());
        }
    }
}
