/** A field whose value differs between two declarations. */
export interface DeclarationDifference {
    /** Path of the field; list items are identified by their `name` or `id`, or else by their index. */
    readonly path: string;
    /** Value before; undefined if the field was added. */
    readonly before: unknown;
    /** Value after; undefined if the field was removed. */
    readonly after: unknown;
}

/**
 * Lists the fields that differ between two declarations. The order of list items with a `name` or `id` is ignored.
 *
 * @param before - earlier declaration, as parsed from JSON
 * @param after - later declaration, as parsed from JSON
 * @returns the differences, sorted by path
 */
export const listDeclarationDifferences = (before: unknown, after: unknown): DeclarationDifference[] => {
    const beforeFields = flattenFields(before);
    const afterFields = flattenFields(after);
    const paths = [...new Set([...beforeFields.keys(), ...afterFields.keys()])].sort();
    return paths
        .filter(path => beforeFields.get(path) !== afterFields.get(path))
        .map(path => ({ path, before: beforeFields.get(path), after: afterFields.get(path) }));
};

/** Collects the scalar values of nested data by their path. */
const flattenFields = (
    value: unknown,
    path = "",
    fields = new Map<string, unknown>(),
): Map<string, unknown> => {
    if (Array.isArray(value)) {
        value.forEach((item, index) => flattenFields(item, `${path}[${formatItemKey(item, index)}]`, fields));
    }
    else if (typeof value === "object" && value !== null) {
        for (const [key, item] of Object.entries(value)) {
            flattenFields(item, path === "" ? key : `${path}.${key}`, fields);
        }
    }
    else if (value !== undefined) {
        fields.set(path, value);
    }
    return fields;
};

/** Identifies a list item by its `name` or `id`, or else by its index. */
const formatItemKey = (item: unknown, index: number): string => {
    const named = item as { name?: unknown; id?: unknown; } | null;
    const name = typeof item === "object" && item !== null ? named?.name ?? named?.id : undefined;
    return typeof name === "string" ? name : String(index);
};
