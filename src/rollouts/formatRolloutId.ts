import type { RolloutRecord } from "./types";

/** Formats what tells a roll-out apart from all others, the same on all nodes. */
export const formatRolloutId = ({ era, revision }: Pick<RolloutRecord, "era" | "revision">): string =>
    `${era}.${revision}`;
