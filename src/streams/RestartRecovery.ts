import type { RecoveryPoint, RecoveryPolicy } from "./RecoveryPolicy";

/** Generates the whole answer again; what was sent before is dropped. Kept for comparison. */
export class RestartRecovery implements RecoveryPolicy {
    readonly name = "restart";

    computeRecoveryPoint(): RecoveryPoint {
        return { offset: 0, producedText: "" };
    }
}
