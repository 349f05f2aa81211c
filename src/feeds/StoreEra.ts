import { ObservableValue } from "../_lib/ObservableValue";

/**
 * Era of the platform's store. It rises each time the store is restored from a copy that is some seconds old: writes
 * since that copy are lost, and revisions are assigned again.
 */
export class StoreEra {
    /** Highest era seen; undefined until an answer states one. Listeners are called when it rises. */
    readonly current = new ObservableValue<number | undefined>(undefined);

    /**
     * Records the era that an answer of the store states.
     *
     * @param era - the era; undefined if the answer states none
     * @returns false if the answer is from an earlier era and must not be used
     */
    observe(era: number | undefined): boolean {
        const known = this.current.value;
        if (era === undefined || era === known) {
            return true;
        }
        if (known !== undefined && era < known) {
            return false;
        }
        this.current.set(era);
        return true;
    }
}
