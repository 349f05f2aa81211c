import { performance } from "node:perf_hooks";
import type { Clock } from "./types";

const maxTimerMs = 2_147_483_647; // a timer of Node.js that is longer fires at once

/** Clock of the VM. Only its wall clock advances while the VM is suspended, and only that one may jump. */
export class SystemClock implements Clock {
    readWallMs(): number {
        return Date.now();
    }

    readMonotonicMs(): number {
        return performance.now();
    }

    sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            if (signal?.aborted) {
                resolve();
                return;
            }
            const finish = (): void => {
                clearTimeout(timer);
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            const timer = setTimeout(finish, Math.min(delayMs, maxTimerMs));
            signal?.addEventListener("abort", finish);
        });
    }
}
