import { runTask } from "./runTask";
import type { Task, TaskHandle } from "./types";

/** Options of {@link TaskScope}. */
export interface TaskScopeOptions {
    /** Called with the error of a task that threw. */
    readonly onTaskError?: (taskName: string, error: unknown) => void;
}

/** A group of tasks that are cancelled together (structured concurrency). */
export class TaskScope {
    private readonly tasks = new Set<TaskHandle<unknown>>();
    private readonly onTaskError: (taskName: string, error: unknown) => void;
    private isCancelled = false;

    constructor(options: TaskScopeOptions = {}) {
        this.onTaskError = options.onTaskError ?? (() => {});
    }

    /** Number of tasks in progress. */
    get size(): number {
        return this.tasks.size;
    }

    /**
     * Starts a task in this scope.
     *
     * @param name - name for error reports
     * @param body - generator function of the task; the signal aborts on cancellation
     * @returns the task's handle
     * @throws Error when the scope has been cancelled
     */
    run<T>(name: string, body: (signal: AbortSignal) => Task<T>): TaskHandle<T> {
        if (this.isCancelled) {
            throw new Error(`task "${name}" cannot start: its scope is cancelled`);
        }
        const handle = runTask(body, { name });
        this.tasks.add(handle);
        handle.done.then(
            () => this.tasks.delete(handle),
            error => {
                this.tasks.delete(handle);
                this.onTaskError(name, error);
            },
        );
        return handle;
    }

    /** Cancels all tasks and resolves when their `finally` blocks have run. */
    async cancel(): Promise<void> {
        this.isCancelled = true;
        const running = [...this.tasks];
        running.forEach(task => task.cancel());
        await Promise.allSettled(running.map(task => task.done));
    }
}
