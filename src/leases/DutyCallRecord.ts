import type { Clock } from "../kernel/types";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { DutyTarget, HeldLease } from "./types";

/** Options of {@link DutyCallRecord}. */
export interface DutyCallRecordOptions {
    readonly clock: Clock;
    readonly events: EventLog;
}

/** How a call ended: `unsent` without a byte written, `abandoned` after it was written, `answered` with any answer. */
export const dutyOutcomes = { answered: "answered", unsent: "unsent", abandoned: "abandoned" } as const;

export type DutyOutcome = typeof dutyOutcomes[keyof typeof dutyOutcomes];

/** Times of one call, for its log line. */
export class DutyCallRecord {
    private readonly checkedMs: number;
    private writtenMs: number | undefined;

    constructor(
        private readonly options: DutyCallRecordOptions,
        private readonly target: DutyTarget,
        private readonly held: HeldLease,
    ) {
        this.checkedMs = options.clock.readMonotonicMs();
    }

    /** Notes that the call is written now. */
    markWritten(): void {
        this.writtenMs = this.options.clock.readMonotonicMs();
    }

    /**
     * Logs the call.
     *
     * @param outcome - how it ended
     * @param error - why it has no answer, or no useful one
     */
    finish(outcome: DutyOutcome, error?: unknown): void {
        const { held, target, checkedMs, writtenMs } = this;
        const endedMs = this.options.clock.readMonotonicMs();
        this.options.events.emit(eventKinds.dutyCalled, {
            ...target,
            fencing: held.fencing,
            outcome,
            error: error === undefined ? undefined : String(error),
            monotonicAgeMs: Math.round(held.monotonicAgeMs),
            wallAgeMs: Math.round(held.wallAgeMs),
            writtenAfterMs: writtenMs === undefined ? undefined : Math.round(writtenMs - checkedMs),
            endedAfterMs: Math.round(endedMs - checkedMs),
        });
    }
}
