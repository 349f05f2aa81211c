/** Shapes shared by the kernel: tasks, services, the clock and the random source. */

/**
 * A task body: a generator that yields promises and receives their settled values.
 * Cancelling it runs its `finally` blocks.
 */
export type Task<T> = Generator<Promise<unknown>, T, unknown>;

/** A running task. `done` settles with the task's result; it resolves to undefined when cancelled. */
export interface TaskHandle<T> {
    readonly name: string;
    readonly done: Promise<T | undefined>;
    cancel(): void;
}

/** Source of time. Wall-clock values are in milliseconds since the epoch. */
export interface Clock {
    /** Wall-clock time in milliseconds; may jump. */
    readWallMs(): number;
    /** Monotonic time in milliseconds; never decreases within a process. */
    readMonotonicMs(): number;
    /** Resolves after `delayMs`, or at once when `signal` aborts. Never rejects. */
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

/** Finds a service that was started before. */
export type FindService = <T>(name: ServiceName<T>) => T;

/** What a service may have; the kernel calls it when it is there. */
export interface ServiceLifecycle {
    start?(): Promise<void>;
    stop?(): Promise<void>;
}

/** How the kernel makes one service. */
export interface ServiceDefinition<T extends object> {
    readonly name: ServiceName<T>;
    /** Names of services that must be started first. */
    readonly requires: readonly ServiceName<object>[];
    /** Makes the service; it finds what it requires by name. */
    create(find: FindService): T & ServiceLifecycle;
}
