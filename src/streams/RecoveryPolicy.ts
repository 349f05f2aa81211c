import type { EngineRequest } from "../upstreams/types";
import type { RequestRecord } from "./RequestRecord";

/** Where an answer goes on at the next runner. */
export type RecoveryPoint = Pick<EngineRequest, "offset" | "producedText">;

/** Decides from where an answer goes on after its runner was lost. */
export interface RecoveryPolicy {
    readonly name: string;
    computeRecoveryPoint(record: RequestRecord): RecoveryPoint;
}
