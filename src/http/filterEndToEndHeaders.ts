import { hopByHopHeaders } from "./hopByHopHeaders";

const expectation = "expect"; // answered by the server that received it

/**
 * Leaves out the headers that concern one connection only, and the length, which is set anew.
 *
 * @param rawHeaders - names and values by turns
 * @param isExcluded - further headers to leave out, by lower-case name
 * @returns the other headers, names and values by turns
 */
export const filterEndToEndHeaders = (
    rawHeaders: readonly string[],
    isExcluded: (name: string) => boolean = () => false,
): string[] => {
    const named = listConnectionOptions(rawHeaders);
    const kept: string[] = [];
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index].toLowerCase();
        if (!hopByHopHeaders.has(name) && name !== expectation && !named.has(name) && !isExcluded(name)) {
            kept.push(rawHeaders[index], rawHeaders[index + 1]);
        }
    }
    return kept;
};

const listConnectionOptions = (rawHeaders: readonly string[]): ReadonlySet<string> => {
    const names = new Set<string>();
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if (rawHeaders[index].toLowerCase() === "connection") {
            rawHeaders[index + 1].split(",").forEach(option => names.add(option.trim().toLowerCase()));
        }
    }
    return names;
};
