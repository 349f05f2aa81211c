import type { Duplex } from "node:stream";
import { SystemClock } from "../kernel/SystemClock";
import type { Clock } from "../kernel/types";

/** Who reads a connection's input. */
export interface InputReader {
    /** Called with the size of each part of the input before it is read; may destroy the connection. */
    readonly onInput?: (bytes: number) => void;
    /** Whether input is to be read at once, however much work there is; default: never. */
    readonly isUrgent?: () => boolean;
}

/** Options of {@link InputScheduler}. */
export interface InputSchedulerOptions {
    /** Default: the system's clock. */
    readonly clock?: Pick<Clock, "readMonotonicMs">;
}

/** A connection whose input is read in slices. */
interface ScheduledConnection {
    readonly socket: Duplex;
    /** Time spent on its input, in milliseconds; brought near to that of the others when it begins to wait. */
    spentMs: number;
}

const sliceBytes = 8_192;
const turnMs = 4; // of input in a turn of the event loop, before other work gets its turn
const maxSliceMs = 4; // a reader that pauses does not tell when it has finished
const maxAheadMs = turnMs + maxSliceMs; // what a connection takes in one turn at most

/**
 * Shares the event loop between connections whose readers read whatever has arrived, such as undici's parser. Such a
 * reader gets input in slices; once reading has taken some milliseconds, the input that is left waits for the next turn of
 * the event loop, so that timers and other connections are served in between. Among waiting connections, the one that
 * has taken the least time lately is served first. Input is never dropped, and keeps its order.
 */
export class InputScheduler {
    private readonly clock: Pick<Clock, "readMonotonicMs">;
    private readonly waiting = new Set<ScheduledConnection>();
    /** Time spent on input in excess of the time since, in milliseconds. */
    private busyMs = 0;
    private lastMs = -Infinity;
    /** The connection whose slice is being read, and the time at which it was given. */
    private current: ScheduledConnection | undefined;
    private currentSinceMs = 0;
    /** The connection that may read one slice, however busy the turn is. */
    private served: ScheduledConnection | undefined;
    /** Time spent on the connection that was served last, in milliseconds. */
    private servedMs = 0;
    private isScheduled = false;

    constructor(options: InputSchedulerOptions = {}) {
        this.clock = options.clock ?? new SystemClock();
    }

    /** Number of connections whose input waits. */
    get waitingCount(): number {
        return this.waiting.size;
    }

    /**
     * Adds a connection whose reader calls `read()` on each `readable` event until it returns null.
     *
     * @param socket - the connection, before its reader listens to it
     * @param reader - who is asked and told before input is read
     */
    add(socket: Duplex, reader: InputReader = {}): void {
        const connection: ScheduledConnection = { socket, spentMs: 0 };
        const read = socket.read.bind(socket);
        socket.read = size => {
            const length = socket.readableLength;
            if (size === undefined && length === 0 && this.current === connection) {
                this.endSlice();
            }
            if (size !== undefined || length === 0) {
                return read(size);
            }
            this.endSlice();
            if (socket.destroyed) {
                return null;
            }
            if (reader.isUrgent?.() !== true && !this.admitSlice(connection)) {
                this.hold(connection);
                return null;
            }
            const bytes = Math.min(length, sliceBytes);
            reader.onInput?.(bytes);
            if (socket.destroyed) {
                return null;
            }
            this.current = connection;
            this.currentSinceMs = this.lastMs;
            return bytes < length ? read(bytes) : read();
        };
    }

    /** Accounts for the slice that was given last. */
    private endSlice(): void {
        const nowMs = this.clock.readMonotonicMs();
        if (this.current) {
            const spentMs = Math.min(nowMs - this.currentSinceMs, maxSliceMs);
            this.current.spentMs += spentMs;
            this.current = undefined;
            this.busyMs += spentMs;
        }
        else {
            this.busyMs = Math.max(0, this.busyMs - (nowMs - this.lastMs));
        }
        this.lastMs = nowMs;
    }

    private admitSlice(connection: ScheduledConnection): boolean {
        if (this.served === connection) {
            this.served = undefined;
            return true;
        }
        return !this.waiting.has(connection) && this.served === undefined && this.busyMs < turnMs;
    }

    private hold(connection: ScheduledConnection): void {
        if (!this.waiting.has(connection)) {
            const spentMs = Math.max(connection.spentMs, this.servedMs);
            connection.spentMs = Math.min(spentMs, this.servedMs + maxAheadMs);
            this.waiting.add(connection);
        }
        this.schedule();
    }

    private schedule(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            setImmediate(() => this.serve());
        }
    }

    /** Lets waiting connections read, one slice at a time, until the turn's time is spent. */
    private serve(): void {
        this.isScheduled = false;
        this.busyMs = 0;
        while (this.busyMs < turnMs) {
            const next = this.takeNext();
            if (!next) {
                break;
            }
            this.served = next;
            next.socket.emit("readable");
            this.served = undefined;
            this.endSlice();
        }
        this.busyMs = 0;
        if (this.waiting.size > 0) {
            this.schedule();
        }
    }

    /** Takes the waiting connection that has taken the least time. */
    private takeNext(): ScheduledConnection | undefined {
        let next: ScheduledConnection | undefined;
        for (const connection of this.waiting) {
            if (connection.socket.destroyed) {
                this.waiting.delete(connection);
            }
            else if (!next || connection.spentMs < next.spentMs) {
                next = connection;
            }
        }
        if (next) {
            this.waiting.delete(next);
            this.servedMs = next.spentMs;
        }
        return next;
    }
}

/** The scheduler of this process, which has one event loop. */
export const processInput = new InputScheduler();
