/**
 * Lists the ids of the complete events in the body of a stream from the runner stand-in.
 *
 * @param body - the body as received
 * @returns the ids, in order
 */
export const listEventIds = (body: string): number[] =>
    [...body.matchAll(/^id: (\d+)\ndata: .+\n\n/gm)].map(match => Number(match[1]));
