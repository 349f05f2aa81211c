import { EventEmitter } from "node:events";
import { fromEvent, type Stream } from "most";

const maxObservers = 10_000; // an EventEmitter warns of a leak above 10 listeners by default

/** A mutable value that notifies listeners and streams of each assignment. */
export class ObservableValue<T> {
    private readonly emitter = new EventEmitter();

    constructor(private current: T) {
        this.emitter.setMaxListeners(maxObservers);
    }

    get value(): T {
        return this.current;
    }

    /**
     * Stream of the values set after the subscription. A stream subscribes asynchronously; use {@link onChange} where
     * no value may be missed.
     */
    get changes(): Stream<T> {
        return fromEvent<T>("change", this.emitter);
    }

    /**
     * Registers a listener for every value set from now on. Unlike a subscription to {@link changes}, it takes effect
     * at once.
     *
     * @param listener - called synchronously with the new value
     */
    onChange(listener: (value: T) => void): void {
        this.emitter.on("change", listener);
    }

    /**
     * Sets the value and notifies listeners and streams, even if the value is unchanged.
     *
     * @param next - the new value
     */
    set(next: T): void {
        this.current = next;
        this.emitter.emit("change", next);
    }
}
