import { compareCounters } from "./counters";
import type { CounterChanges, Counters } from "./types";

/**
 * Compares states of counters, each pair once: many peers were sent the same state and get the same changes. The states
 * must not be modified.
 */
export class ChangesCache {
    private readonly changes = new WeakMap<Counters, WeakMap<Counters, CounterChanges>>();

    /** Lists the counters that differ from an earlier state. */
    compare(before: Counters, after: Counters): CounterChanges {
        let known = this.changes.get(before);
        if (!known) {
            known = new WeakMap();
            this.changes.set(before, known);
        }
        let changes = known.get(after);
        if (!changes) {
            changes = compareCounters(before, after);
            known.set(after, changes);
        }
        return changes;
    }
}
