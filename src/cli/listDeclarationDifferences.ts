/** One difference between two declarations. */
export interface DeclarationDifference {
    /** Path of the field; items of lists are named by their `name` or `id`. */
    readonly path: string;
    readonly before: unknown;
    readonly after: unknown;
}

/**
 * Lists the differences between two declarations. The order of items in a list makes no difference.
 *
 * @param before - plain data
 * @param after - plain data
 * @returns the differences, by path
 */
export const listDeclarationDifferences = (before: unknown, after: unknown): DeclarationDifference[] => {
    const first = flatten(before);
    const second = flatten(after);
    const paths = [...new Set([...first.keys(), ...second.keys()])].sort();
    return paths
        .filter(path => first.get(path) !== second.get(path))
        .map(path => ({ path, before: first.get(path), after: second.get(path) }));
};

const flatten = (value: unknown, path = "", into = new Map<string, unknown>()): Map<string, unknown> => {
    if (Array.isArray(value)) {
        value.forEach((item, index) => flatten(item, `${path}[${nameItem(item, index)}]`, into));
    }
    else if (typeof value === "object" && value !== null) {
        for (const [key, item] of Object.entries(value)) {
            flatten(item, path === "" ? key : `${path}.${key}`, into);
        }
    }
    else if (value !== undefined) {
        into.set(path, value);
    }
    return into;
};

const nameItem = (item: unknown, index: number): string => {
    const named = item as { name?: unknown; id?: unknown; } | null;
    const name = typeof item === "object" && item !== null ? named?.name ?? named?.id : undefined;
    return typeof name === "string" ? name : String(index);
};
