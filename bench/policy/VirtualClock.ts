import type { Clock } from "../../src/kernel/types";

interface Sleeper {
    readonly wakeAtMs: number;
    readonly order: number;
    readonly wake: () => void;
    cancelled: boolean;
}

/** Clock of a bench in virtual time. Sleepers are kept in a binary heap; those due at one moment wake together. */
export class VirtualClock implements Clock {
    private readonly heap: Sleeper[] = [];
    private currentMs = 1_000_000;
    private order = 0;

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
                sleeper.cancelled = true;
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            this.order += 1;
            const sleeper: Sleeper = {
                wakeAtMs: this.currentMs + Math.max(0, delayMs),
                order: this.order,
                wake: finish,
                cancelled: false,
            };
            this.push(sleeper);
            signal?.addEventListener("abort", finish);
        });
    }

    /** Lets virtual time pass as fast as the sleepers' work allows. */
    async advance(durationMs: number): Promise<void> {
        const endMs = this.currentMs + durationMs;
        await flush();
        while (this.heap.length > 0 && this.heap[0].wakeAtMs <= endMs) {
            const dueMs = this.heap[0].wakeAtMs;
            this.currentMs = Math.max(this.currentMs, dueMs);
            while (this.heap.length > 0 && this.heap[0].wakeAtMs <= dueMs) {
                const sleeper = this.pop();
                if (!sleeper.cancelled) {
                    sleeper.wake();
                }
            }
            await flush();
        }
        this.currentMs = endMs;
    }

    private push(sleeper: Sleeper): void {
        const { heap } = this;
        heap.push(sleeper);
        let index = heap.length - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!isBefore(heap[index], heap[parent])) {
                break;
            }
            [heap[index], heap[parent]] = [heap[parent], heap[index]];
            index = parent;
        }
    }

    private pop(): Sleeper {
        const { heap } = this;
        const top = heap[0];
        const last = heap.pop()!;
        if (heap.length === 0) {
            return top;
        }
        heap[0] = last;
        let index = 0;
        for (;;) {
            const left = 2 * index + 1;
            const right = left + 1;
            let least = index;
            if (left < heap.length && isBefore(heap[left], heap[least])) {
                least = left;
            }
            if (right < heap.length && isBefore(heap[right], heap[least])) {
                least = right;
            }
            if (least === index) {
                return top;
            }
            [heap[index], heap[least]] = [heap[least], heap[index]];
            index = least;
        }
    }
}

const isBefore = (a: Sleeper, b: Sleeper): boolean =>
    a.wakeAtMs < b.wakeAtMs || (a.wakeAtMs === b.wakeAtMs && a.order < b.order);

const flush = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
