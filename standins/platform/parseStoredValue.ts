/**
 * Parses a stored value as a table service does.
 *
 * @param bytes - the value's bytes
 * @returns the value; undefined if it is not JSON
 */
export const parseStoredValue = (bytes: Buffer): unknown => {
    try {
        return JSON.parse(bytes.toString("utf8"));
    }
    catch {
        return undefined;
    }
};
