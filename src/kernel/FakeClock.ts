import type { Clock } from "./types";

interface Sleeper {
    readonly wakeAtMs: number;
    readonly order: number;
    readonly wake: () => void;
    ended: boolean;
}

/** Options of {@link FakeClock}. */
export interface FakeClockOptions {
    /** Time at the start, in milliseconds; default 1,000,000. */
    readonly startMs?: number;
    /** Turns of the event loop given to the woken tasks before time moves on; default 3. */
    readonly eventLoopTurns?: number;
}

const defaultStartMs = 1_000_000;
const defaultTurns = 3;

/** Clock that moves only when told to. Its sleepers wake in order; they are kept in a binary heap. */
export class FakeClock implements Clock {
    private readonly heap: Sleeper[] = [];
    private readonly turns: number;
    private currentMs: number;
    private order = 0;

    constructor(options: FakeClockOptions = {}) {
        this.currentMs = options.startMs ?? defaultStartMs;
        this.turns = options.eventLoopTurns ?? defaultTurns;
    }

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
            const finish = (): void => {
                sleeper.ended = true;
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            this.order += 1;
            const wakeAtMs = this.currentMs + Math.max(0, delayMs);
            const sleeper: Sleeper = { wakeAtMs, order: this.order, wake: finish, ended: false };
            this.push(sleeper);
            signal?.addEventListener("abort", finish);
        });
    }

    /**
     * Moves time forward and wakes due sleepers, those of one moment together, letting their tasks run.
     *
     * @param durationMs - how far to move, in milliseconds
     */
    async advance(durationMs: number): Promise<void> {
        const endMs = this.currentMs + durationMs;
        await this.flush();
        while (this.heap.length > 0 && this.heap[0].wakeAtMs <= endMs) {
            const dueMs = this.heap[0].wakeAtMs;
            this.currentMs = Math.max(this.currentMs, dueMs);
            while (this.heap.length > 0 && this.heap[0].wakeAtMs <= dueMs) {
                const sleeper = this.pop();
                if (!sleeper.ended) {
                    sleeper.wake();
                }
            }
            await this.flush();
        }
        this.currentMs = endMs;
        await this.flush();
    }

    private async flush(): Promise<void> {
        for (let turn = 0; turn < this.turns; turn += 1) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    private push(sleeper: Sleeper): void {
        const { heap } = this;
        heap.push(sleeper);
        let index = heap.length - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!isBefore(heap[index], heap[parent])) {
                return;
            }
            [heap[index], heap[parent]] = [heap[parent], heap[index]];
            index = parent;
        }
    }

    private pop(): Sleeper {
        const { heap } = this;
        const top = heap[0];
        const last = heap.pop()!;
        if (heap.length > 0) {
            heap[0] = last;
            this.sink(0);
        }
        return top;
    }

    /** Moves the sleeper at an index down until none below it is earlier. */
    private sink(start: number): void {
        const { heap } = this;
        let index = start;
        for (;;) {
            let least = index;
            for (const child of [2 * index + 1, 2 * index + 2]) {
                if (child < heap.length && isBefore(heap[child], heap[least])) {
                    least = child;
                }
            }
            if (least === index) {
                return;
            }
            [heap[index], heap[least]] = [heap[least], heap[index]];
            index = least;
        }
    }
}

const isBefore = (a: Sleeper, b: Sleeper): boolean =>
    a.wakeAtMs < b.wakeAtMs || (a.wakeAtMs === b.wakeAtMs && a.order < b.order);
