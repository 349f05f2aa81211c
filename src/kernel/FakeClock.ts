import type { Clock } from "./types";

interface Sleeper {
    readonly wakeAtMs: number;
    readonly order: number;
    readonly wake: () => void;
}

/** Clock for tests that moves only when told to. */
export class FakeClock implements Clock {
    private sleepers: Sleeper[] = [];
    private order = 0;

    constructor(private currentMs = 1_000_000) {}

    readWallMs(): number {
        return this.currentMs;
    }

    readMonotonicMs(): number {
        return this.currentMs;
    }

    sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            if (signal?.aborted) {
                resolve();
                return;
            }
            this.order += 1;
            const finish = (): void => {
                signal?.removeEventListener("abort", finish);
                this.sleepers = this.sleepers.filter(candidate => candidate !== sleeper);
                resolve();
            };
            const sleeper: Sleeper = { wakeAtMs: this.currentMs + delayMs, order: this.order, wake: finish };
            this.sleepers.push(sleeper);
            signal?.addEventListener("abort", finish);
        });
    }

    /**
     * Moves time forward and wakes due sleepers in order, letting each one's tasks run.
     *
     * @param durationMs - how far to move, in milliseconds
     */
    async advance(durationMs: number): Promise<void> {
        const endMs = this.currentMs + durationMs;
        await flushMicrotasks();
        let next = this.takeNext(endMs);
        while (next) {
            this.currentMs = Math.max(this.currentMs, next.wakeAtMs);
            next.wake();
            await flushMicrotasks();
            next = this.takeNext(endMs);
        }
        this.currentMs = endMs;
        await flushMicrotasks();
    }

    private takeNext(endMs: number): Sleeper | undefined {
        this.sleepers.sort((a, b) => a.wakeAtMs - b.wakeAtMs || a.order - b.order);
        if (this.sleepers.length === 0 || this.sleepers[0].wakeAtMs > endMs) {
            return undefined;
        }
        return this.sleepers.shift();
    }
}

const flushMicrotasks = async (): Promise<void> => {
    for (let turn = 0; turn < 3; turn += 1) {
        await new Promise(resolve => setImmediate(resolve));
    }
};
