import { EventEmitter } from "node:events";
import { fromEvent, type Stream } from "most";

const maxObservers = 10_000;

/** A value that changes over time, with its changes as a stream. */
export class ObservableValue<T> {
    private readonly emitter = new EventEmitter();

    constructor(private current: T) {
        this.emitter.setMaxListeners(maxObservers);
    }

    get value(): T {
        return this.current;
    }

    /** Stream of the values set after subscribing. */
    get changes(): Stream<T> {
        return fromEvent<T>("change", this.emitter);
    }

    /**
     * Calls a listener for each value set from this moment on. A stream takes a turn to subscribe, in which a value may
     * be set that its observer never sees.
     *
     * @param listener - receives the new value
     */
    onChange(listener: (value: T) => void): void {
        this.emitter.on("change", listener);
    }

    /**
     * Sets the value and tells the observers.
     *
     * @param next - the new value
     */
    set(next: T): void {
        this.current = next;
        this.emitter.emit("change", next);
    }
}
