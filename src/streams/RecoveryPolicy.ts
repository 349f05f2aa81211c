import type { EngineRequest } from "../upstreams/types";
import type { RequestRecord } from "./RequestRecord";

/** Point from which the next runner continues an answer. */
export type RecoveryPoint = Pick<EngineRequest, "offset" | "producedText">;

/** Decides from which point an answer is continued after its runner failed or was reclaimed. */
export interface RecoveryPolicy {
    readonly name: string;
    computeRecoveryPoint(record: RequestRecord): RecoveryPoint;
}
