import { decodeEvents } from "./decodeEvents";
import type { RecoveryPoint, RecoveryPolicy } from "./RecoveryPolicy";
import type { RequestRecord } from "./RequestRecord";

/** Continues after the last event, from the prompt and the text produced so far. */
export class ResumeRecovery implements RecoveryPolicy {
    readonly name = "resume";

    computeRecoveryPoint(record: RequestRecord): RecoveryPoint {
        const offset = record.log.nextOffset;
        return { offset, producedText: offset > 0 ? decodeEvents(record.log.read(0)).text : "" };
    }
}
