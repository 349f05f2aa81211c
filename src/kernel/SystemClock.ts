import { performance } from "node:perf_hooks";
import type { Clock } from "./types";

/**
 * Clock of the process. The monotonic time stands still while the machine is suspended; the wall-clock time does not, and
 * may be set at any time, so that the two tell a suspension.
 */
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
            const timer = setTimeout(finish, delayMs);
            signal?.addEventListener("abort", finish);
        });
    }
}
