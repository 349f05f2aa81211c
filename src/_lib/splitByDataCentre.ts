/**
 * Splits nodes by their data centre.
 *
 * @param nodes - the nodes; those without a data centre form a part of their own
 * @returns the nodes of each data centre, in the given order
 */
export const splitByDataCentre = <T extends { readonly dataCentre?: string; }>(
    nodes: readonly T[],
): Map<string | undefined, T[]> => {
    const byCentre = new Map<string | undefined, T[]>();
    for (const node of nodes) {
        const known = byCentre.get(node.dataCentre);
        if (known) {
            known.push(node);
        }
        else {
            byCentre.set(node.dataCentre, [node]);
        }
    }
    return byCentre;
};
