/** Counters and violated guarantees of a soak run. */
export class SoakTally {
    readonly counts = new Map<string, number>();
    readonly violations: string[] = [];

    /** Increments a counter. */
    count(name: string): void {
        this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
    }

    /** Reads a counter; 0 if it was never incremented. */
    read(name: string): number {
        return this.counts.get(name) ?? 0;
    }

    /** Records the violation of a guarantee and prints it. */
    fail(guarantee: string, detail: string): void {
        this.violations.push(`${guarantee}: ${detail}`);
        process.stderr.write(`VIOLATION ${guarantee}: ${detail}\n`);
    }

    /** Records a violation unless the guarantee holds. */
    check(guarantee: string, holds: boolean, describeViolation: () => string): void {
        if (!holds) {
            this.fail(guarantee, describeViolation());
        }
    }
}
