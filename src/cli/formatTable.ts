import Table from "cli-table3";

/**
 * Formats rows as a table for a terminal, without colours.
 *
 * @param head - column titles
 * @param rows - cells
 * @returns the table's text
 */
export const formatTable = (
    head: readonly string[],
    rows: readonly (readonly (string | number)[])[],
): string => {
    const table = new Table({ head: [...head], style: { head: [], border: [], compact: true } });
    rows.forEach(row => table.push([...row]));
    return table.toString();
};
