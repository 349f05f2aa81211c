/** Runs of one operation, one after another. Requests that wait for the run in progress share the next one. */
export class CoalescedRuns<T> {
    private current: Promise<unknown> = Promise.resolve();
    private next: Promise<T> | undefined;

    constructor(private readonly operation: () => Promise<T>) {}

    /**
     * Runs the operation once more, or waits for a run that has not begun yet.
     *
     * @returns the result of a run that begins after this call
     * @throws what the operation throws
     */
    run(): Promise<T> {
        this.next ??= this.startNext();
        return this.next;
    }

    private async startNext(): Promise<T> {
        await this.current;
        this.next = undefined;
        const result = this.operation();
        this.current = result.catch(() => {}); // its callers get the error
        return result;
    }
}
