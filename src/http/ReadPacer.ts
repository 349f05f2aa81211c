/** A connection that waits for its turn. */
interface WaitingReader {
    readonly resume: () => void;
    /** Time that is left to others at its turn, in milliseconds. */
    readonly delayMs: number;
}

const maxDelayMs = 50;

/** Lets connections that cost much to read be read one after another, so that the process serves others in between. */
export class ReadPacer {
    private readonly waiting: WaitingReader[] = [];
    private timer: NodeJS.Timeout | undefined;

    /**
     * Adds a connection to those that wait.
     *
     * @param resume - lets the connection be read; called once
     * @param delayMs - time that is left to others at its turn, in milliseconds, which is cut to 50 ms
     */
    enqueue(resume: () => void, delayMs: number): void {
        this.waiting.push({ resume, delayMs });
        this.timer ??= this.schedule();
    }

    private schedule(): NodeJS.Timeout {
        return setTimeout(() => {
            this.waiting.shift()?.resume();
            this.timer = this.waiting.length > 0 ? this.schedule() : undefined;
        }, Math.min(maxDelayMs, this.waiting[0].delayMs)).unref();
    }
}
