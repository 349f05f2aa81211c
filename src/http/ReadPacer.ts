const readIntervalMs = 50;

/** Lets connections that cost much to read be read one after another, so that the process serves others in between. */
export class ReadPacer {
    private readonly waiting: (() => void)[] = [];
    private timer: NodeJS.Timeout | undefined;

    /**
     * Adds a connection to those that wait.
     *
     * @param resume - lets the connection be read; called once
     */
    enqueue(resume: () => void): void {
        this.waiting.push(resume);
        this.timer ??= this.schedule();
    }

    private schedule(): NodeJS.Timeout {
        return setTimeout(() => {
            this.waiting.shift()?.();
            this.timer = this.waiting.length > 0 ? this.schedule() : undefined;
        }, readIntervalMs).unref();
    }
}
