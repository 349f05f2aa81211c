import type { Task } from "./types";

/**
 * Waits for a promise inside a task and keeps its type.
 *
 * @param pending - the promise to wait for
 * @returns the settled value
 * @throws whatever the promise rejects with
 * @example
 * const rows = yield* waitFor(table.read(keys));
 */
export function* waitFor<T>(pending: Promise<T>): Task<T> {
    return (yield pending) as T;
}
