/** Types of the replicated configuration. */

import type { Declaration } from "../declaration/declarationSchema";

/** A configuration in force on a node. */
export interface ActiveConfiguration {
    /** Increases by one with each change. */
    readonly revision: number;
    /** Identifies the change that created this revision. */
    readonly changeId: string;
    readonly declaration: Declaration;
    /** Wall-clock time of the commit, in milliseconds. */
    readonly committedAtMs: number;
}

/** Outcome of an accepted change. */
export interface AppliedChange {
    readonly revision: number;
    readonly changeId: string;
    /** Nodes that have the revision in force. */
    readonly inForce: readonly string[];
    /** Live members that did not confirm the revision in time. */
    readonly missing: readonly string[];
}
