import { runTask } from "./runTask";
import type { Task, TaskHandle } from "./types";

/** Options of {@link TaskScope}. */
export interface TaskScopeOptions {
    /** Receives the error of a task that threw. */
    readonly onTaskError?: (taskName: string, error: unknown) => void;
}

/** Owns a set of tasks that are cancelled together. */
export class TaskScope {
    private readonly tasks = new Set<TaskHandle<unknown>>();
    private readonly onTaskError: (taskName: string, error: unknown) => void;
    private closed = false;

    constructor(options: TaskScopeOptions = {}) {
        this.onTaskError = options.onTaskError ?? (() => {});
    }

    /** Number of tasks that have not ended. */
    get size(): number {
        return this.tasks.size;
    }

    /**
     * Starts a task in this scope.
     *
     * @param name - name for error reports
     * @param body - creates the generator
     * @returns the task's handle
     * @throws Error when the scope is already cancelled
     */
    run<T>(name: string, body: (signal: AbortSignal) => Task<T>): TaskHandle<T> {
        if (this.closed) {
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

    /** Cancels every task and waits until their `finally` blocks have run. */
    async cancel(): Promise<void> {
        this.closed = true;
        const running = [...this.tasks];
        running.forEach(task => task.cancel());
        await Promise.allSettled(running.map(task => task.done));
    }
}
