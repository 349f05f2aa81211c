import type { Clock } from "../kernel/types";

/** Options of {@link SharedReading}. */
export interface SharedReadingOptions {
    readonly clock: Clock;
    /** Reads once; resolves with whether the reading succeeded, never rejects. */
    readonly read: () => Promise<boolean>;
    /** Time between the beginnings of two readings, in milliseconds. */
    readonly intervalMs: number;
}

/** Readings that many callers share: at most one is under way, and at most one more is waited for. */
export class SharedReading {
    private next: Promise<boolean> | undefined;
    private isFree: Promise<unknown> = Promise.resolve();

    constructor(private readonly options: SharedReadingOptions) {}

    /** Resolves with the result of a reading that begins after this call. */
    join(): Promise<boolean> {
        this.next ??= this.readNext();
        return this.next;
    }

    private async readNext(): Promise<boolean> {
        const { clock, read, intervalMs } = this.options;
        await this.isFree;
        this.next = undefined;
        const reading = read();
        this.isFree = Promise.all([reading, clock.sleep(intervalMs)]);
        return reading;
    }
}
