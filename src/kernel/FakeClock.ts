import type { Clock } from "./types";

interface Sleeper {
    readonly wakeAtMs: number;
    readonly order: number;
    readonly wake: () => void;
    hasEnded: boolean;
}

/** Options of {@link FakeClock}. */
export interface FakeClockOptions {
    /** Initial wall-clock and monotonic time, in milliseconds; default 1,000,000. */
    readonly startMs?: number;
    /** Number of event-loop turns that woken tasks get before time advances further; default 3. */
    readonly eventLoopTurns?: number;
}

const defaultStartMs = 1_000_000;
const defaultEventLoopTurns = 3;

/**
 * Clock for tests and simulations whose time moves only by {@link advance}. Sleepers are kept in a binary heap and wake
 * in order of their due time, then of their calls.
 */
export class FakeClock implements Clock {
    private readonly heap: Sleeper[] = [];
    private readonly eventLoopTurns: number;
    private currentMs: number;
    private wallStepsMs = 0;
    private order = 0;

    constructor(options: FakeClockOptions = {}) {
        this.currentMs = options.startMs ?? defaultStartMs;
        this.eventLoopTurns = options.eventLoopTurns ?? defaultEventLoopTurns;
    }

    readWallMs(): number {
        return this.currentMs + this.wallStepsMs;
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
                sleeper.hasEnded = true;
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            this.order += 1;
            const wakeAtMs = this.currentMs + Math.max(0, delayMs);
            const sleeper: Sleeper = { wakeAtMs, order: this.order, wake: finish, hasEnded: false };
            this.push(sleeper);
            signal?.addEventListener("abort", finish);
        });
    }

    /** Moves the wall clock only, by milliseconds, as when it is set or the machine was suspended. */
    stepWall(durationMs: number): void {
        this.wallStepsMs += durationMs;
    }

    /**
     * Advances the time and wakes the sleepers that become due. Sleepers with the same due time wake together; their
     * tasks run before the time advances further.
     *
     * @param durationMs - time to advance by, in milliseconds
     */
    async advance(durationMs: number): Promise<void> {
        const endMs = this.currentMs + durationMs;
        await this.flush();
        while (this.heap.length > 0 && this.heap[0].wakeAtMs <= endMs) {
            const dueMs = this.heap[0].wakeAtMs;
            this.currentMs = Math.max(this.currentMs, dueMs);
            while (this.heap.length > 0 && this.heap[0].wakeAtMs <= dueMs) {
                const sleeper = this.pop();
                if (!sleeper.hasEnded) {
                    sleeper.wake();
                }
            }
            await this.flush();
        }
        this.currentMs = endMs;
        await this.flush();
    }

    private async flush(): Promise<void> {
        for (let turn = 0; turn < this.eventLoopTurns; turn += 1) {
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

    /** Restores the heap order by moving the sleeper at an index down. */
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
