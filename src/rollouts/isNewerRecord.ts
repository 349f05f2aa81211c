import { type RolloutPhase, rolloutPhases, type RolloutRecord } from "./types";

const ranks: Readonly<Record<RolloutPhase, number>> = {
    [rolloutPhases.trial]: 0,
    [rolloutPhases.moving]: 1,
    [rolloutPhases.completed]: 2,
    [rolloutPhases.rolledBack]: 3,
};

/** What orders the records of one service. */
export type RecordPosition = Pick<RolloutRecord, "era" | "revision" | "phase">;

/**
 * Tells whether a record follows another one of the same service. Records only go forward, so that it does not matter in
 * which order, and how often, a node hears of them.
 *
 * @param next - a record
 * @param present - the record known so far; undefined if there is none
 */
export const isNewerRecord = (
    next: RecordPosition,
    present: RecordPosition | undefined,
): boolean =>
    present === undefined
    || (next.era - present.era || next.revision - present.revision
            || ranks[next.phase] - ranks[present.phase])
        > 0;
