import Table from "cli-table3";

/**
 * Formats rows as a text table without colours.
 *
 * @param columnTitles - column titles
 * @param rows - cells of each row, in the order of the columns
 * @returns the table
 */
export const formatTable = (
    columnTitles: readonly string[],
    rows: readonly (readonly (string | number)[])[],
): string => {
    const table = new Table({ head: [...columnTitles], style: { head: [], border: [], compact: true } });
    rows.forEach(row => table.push([...row]));
    return table.toString();
};
