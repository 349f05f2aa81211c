import type { CounterChanges, Counters } from "./types";

/**
 * Adds counters to a sum.
 *
 * @param sum - changed in place; counters that become 0 are removed
 * @param values - the counters to add
 * @param factor - multiplies each value; -1 subtracts
 */
export const addCounters = (sum: Map<string, number>, values: Counters, factor = 1): void => {
    for (const [name, value] of values) {
        const next = (sum.get(name) ?? 0) + value * factor;
        if (Math.abs(next) < negligible) {
            sum.delete(name);
        }
        else {
            sum.set(name, next);
        }
    }
};

/** Lists the counters that differ from an earlier state. */
export const compareCounters = (before: Counters, after: Counters): CounterChanges => {
    const changes: Record<string, number> = {};
    for (const [name, value] of after) {
        if (before.get(name) !== value) {
            changes[name] = value;
        }
    }
    for (const name of before.keys()) {
        if (!after.has(name)) {
            changes[name] = 0;
        }
    }
    return changes;
};

/** Applies changes to a state; returns the new state. */
export const applyChanges = (before: Counters, changes: CounterChanges): Map<string, number> => {
    const next = new Map(before);
    for (const [name, value] of Object.entries(changes)) {
        if (value === 0) {
            next.delete(name);
        }
        else {
            next.set(name, value);
        }
    }
    return next;
};

const negligible = 1e-9; // what remains of a difference of equal fractions
