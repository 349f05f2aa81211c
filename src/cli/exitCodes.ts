/** Exit codes of the command line; docs/OPERATING.md lists them. */
export const exitCodes = {
    /** The command succeeded. */
    ok: 0,
    /** An unexpected error occurred. */
    internal: 1,
    /** A command, option or file is missing or not valid. */
    usage: 2,
    /** The node refused the request; nothing was changed. */
    refused: 3,
    /** The node could not be reached, or did not answer a read; nothing was changed. */
    unreachable: 4,
    /** It is unknown whether the change was committed. */
    unknown: 5,
    /** The change is committed, but some live members have not confirmed it. */
    incomplete: 6,
} as const;
