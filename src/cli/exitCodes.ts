/** Exit codes of the command line; docs/OPERATING.md lists them. */
export const exitCodes = {
    /** Done. */
    ok: 0,
    /** An unexpected error. */
    internal: 1,
    /** A wrong option, or a file that is missing or not valid. */
    usage: 2,
    /** A node refused; nothing was changed. */
    refused: 3,
    /** No node could be reached. */
    unreachable: 4,
    /** It is not known whether the change was made. */
    unknown: 5,
    /** The change is committed, but some live members have not confirmed it. */
    incomplete: 6,
} as const;
