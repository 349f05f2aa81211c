import type { Task } from "./types";

/**
 * Awaits a promise inside a task. Unlike a bare `yield`, it returns the typed value.
 *
 * @param pending - the promise
 * @returns the resolved value
 * @throws whatever the promise rejects with
 * @example
 * const rows = yield* waitFor(table.read(keys));
 */
export function* waitFor<T>(pending: Promise<T>): Task<T> {
    return (yield pending) as T;
}
