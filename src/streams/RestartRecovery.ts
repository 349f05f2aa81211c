import type { RecoveryPoint, RecoveryPolicy } from "./RecoveryPolicy";

/** Generates the whole answer again; events that are already in the log are dropped. Kept for comparison. */
export class RestartRecovery implements RecoveryPolicy {
    readonly name = "restart";

    computeRecoveryPoint(): RecoveryPoint {
        return { offset: 0, producedText: "" };
    }
}
