import { hopByHopHeaders } from "./hopByHopHeaders";

const expectHeader = "expect"; // applies to this hop only: the receiving server answers the expectation itself

/**
 * Selects the end-to-end headers of a message to be forwarded. Leaves out hop-by-hop headers, those that `connection`
 * names, `expect`, and `content-length`, which the sender of the forwarded message sets.
 *
 * @param rawHeaders - alternating names and values, as in `IncomingMessage.rawHeaders`
 * @param isExcluded - tells by lower-case name whether a further header is left out; default: none
 * @returns the end-to-end headers, as alternating names and values
 */
export const filterEndToEndHeaders = (
    rawHeaders: readonly string[],
    isExcluded: (name: string) => boolean = () => false,
): string[] => {
    const connectionOptions = listConnectionOptions(rawHeaders);
    const endToEndHeaders: string[] = [];
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index].toLowerCase();
        if (
            !hopByHopHeaders.has(name) && name !== expectHeader && !connectionOptions.has(name)
            && !isExcluded(name)
        ) {
            endToEndHeaders.push(rawHeaders[index], rawHeaders[index + 1]);
        }
    }
    return endToEndHeaders;
};

/** Lists the lower-case names of the headers that the message's `connection` headers declare as hop-by-hop. */
const listConnectionOptions = (rawHeaders: readonly string[]): ReadonlySet<string> => {
    const names = new Set<string>();
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if (rawHeaders[index].toLowerCase() === "connection") {
            rawHeaders[index + 1].split(",").forEach(option => names.add(option.trim().toLowerCase()));
        }
    }
    return names;
};
