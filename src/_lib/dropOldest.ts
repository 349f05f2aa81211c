/**
 * Drops the entry of a map or set that was added first, if it has more than a maximum.
 *
 * @param entries - the map or set
 * @param maxSize - number of entries that it may have
 */
export const dropOldest = <K>(
    entries: { readonly size: number; keys(): Iterable<K>; delete(key: K): boolean; },
    maxSize: number,
): void => {
    if (entries.size > maxSize) {
        const [oldest] = entries.keys();
        entries.delete(oldest);
    }
};
