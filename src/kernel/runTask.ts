import { abortReason } from "../_lib/abortReason";
import type { Task, TaskHandle } from "./types";

/** Options of {@link runTask}. */
export interface RunTaskOptions {
    /** Name for error messages. */
    readonly name: string;
}

/**
 * Runs a generator as a coroutine: each yielded promise is awaited and its value or error is passed back in. On
 * cancellation the generator is ended at its current `yield`; promises yielded in `finally` blocks are still awaited.
 *
 * @param body - generator function; its signal aborts on cancellation
 * @param options - the task's name
 * @returns a handle with the result and a method to cancel the task
 * @example
 * const handle = runTask(function* () { yield* waitFor(clock.sleep(10)); return 1; }, { name: "pause" });
 * await handle.done; // 1
 */
export const runTask = <T>(
    body: (signal: AbortSignal) => Task<T>,
    options: RunTaskOptions,
): TaskHandle<T> => {
    const controller = new AbortController();
    const iterator = body(controller.signal);
    let notifyCancelled: () => void = () => {};
    const cancelled = new Promise<void>(resolve => {
        notifyCancelled = resolve;
    });

    const drive = async (): Promise<T | undefined> => {
        let step = iterator.next();
        let isReturning = false;
        while (!step.done) {
            const outcome = await settle(step.value, isReturning ? undefined : cancelled);
            if (outcome.kind === "cancelled") {
                isReturning = true;
                step = iterator.return(undefined as T);
            }
            else if (outcome.kind === "failed") {
                step = iterator.throw(outcome.error);
            }
            else {
                step = iterator.next(outcome.value);
            }
        }
        return step.value;
    };

    return {
        name: options.name,
        done: drive(),
        cancel: () => {
            controller.abort(abortReason);
            notifyCancelled();
        },
    };
};

type Outcome =
    | { readonly kind: "value"; readonly value: unknown; }
    | { readonly kind: "failed"; readonly error: unknown; }
    | { readonly kind: "cancelled"; };

const settle = (pending: Promise<unknown>, cancelled: Promise<void> | undefined): Promise<Outcome> => {
    const settled = Promise.resolve(pending).then(
        (value): Outcome => ({ kind: "value", value }),
        (error): Outcome => ({ kind: "failed", error }),
    );
    if (!cancelled) {
        return settled;
    }
    return Promise.race([settled, cancelled.then((): Outcome => ({ kind: "cancelled" }))]);
};
