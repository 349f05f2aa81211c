import { performance } from "node:perf_hooks";
import type { Clock } from "./types";

const maxTimerMs = 2_147_483_647; // a timer of Node.js that is longer fires at once

/** Clock of the process. Its wall-clock time is the time at process start plus the monotonic time since then. */
export class SystemClock implements Clock {
    readWallMs(): number {
        return Math.floor(performance.timeOrigin + performance.now());
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
