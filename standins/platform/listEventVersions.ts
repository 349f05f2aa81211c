/**
 * Lists the software versions that the events in the body of a stream from the runner stand-in name.
 *
 * @param body - the body as received
 * @returns the versions, each once
 */
export const listEventVersions = (body: string): string[] => [
    ...new Set([...body.matchAll(/^data: .+ of (\S+)$/gm)].map(match => match[1])),
];
