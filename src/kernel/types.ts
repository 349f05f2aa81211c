/** Types of tasks, services, the clock and the random source. */

/**
 * A coroutine: a generator that yields promises and receives the values that they resolve to. Cancellation runs its
 * `finally` blocks.
 */
export type Task<T> = Generator<Promise<unknown>, T, unknown>;

/** A running task. */
export interface TaskHandle<T> {
    readonly name: string;
    /** Settles with the task's result or error; resolves to undefined when the task was cancelled. */
    readonly done: Promise<T | undefined>;
    /** Cancels the task; {@link done} settles once its `finally` blocks have run. */
    cancel(): void;
}

/** Source of time. */
export interface Clock {
    /** Wall-clock time in milliseconds since the epoch; may jump. */
    readWallMs(): number;
    /** Monotonic time in milliseconds; never decreases within a process. */
    readMonotonicMs(): number;
    /** Resolves after `delayMs`, or immediately when `signal` aborts. Never rejects. */
    sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}

/** Source of random numbers. */
export interface RandomSource {
    /** Uniform in [0, 1). */
    drawFloat(): number;
    /** Uniform integer in [0, bound). */
    drawInt(bound: number): number;
    /** Lower-case hexadecimal identifier of `bytes` random bytes. */
    drawId(bytes: number): string;
}

/** Typed name under which a service is registered. */
export interface ServiceName<T> {
    readonly id: string;
    /** Phantom field that carries the type; never present at run time. */
    readonly serviceType?: T;
}

/** Finds a service that has been created. */
export type FindService = <T>(name: ServiceName<T>) => T;

/** Optional lifecycle methods of a service, called by the kernel. */
export interface ServiceLifecycle {
    start?(): Promise<void>;
    stop?(): Promise<void>;
}

/** Name, dependencies and factory of a service. */
export interface ServiceDefinition<T extends object> {
    readonly name: ServiceName<T>;
    /** Services that must be started before this one. */
    readonly requires: readonly ServiceName<object>[];
    /** Creates the service; `find` gives access to its dependencies. */
    create(find: FindService): T & ServiceLifecycle;
}
