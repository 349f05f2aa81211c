import type { Clock } from "../kernel/types";
import { StoreError } from "../platform/StoreError";
import type { DutyStages } from "../platform/types";
import type { EventLog } from "../telemetry/EventLog";
import { CallDeadline } from "./CallDeadline";
import { DutyCallRecord, type DutyOutcome, dutyOutcomes } from "./DutyCallRecord";
import type { Lease } from "./Lease";
import { LeaseConfirmation } from "./LeaseConfirmation";
import type { DutyTarget } from "./types";

/** Options of {@link DutyCaller}. */
export interface DutyCallerOptions {
    readonly lease: Lease;
    readonly clock: Clock;
    readonly events: EventLog;
    /** Time-out of a call, in milliseconds. */
    readonly callTimeoutMs: number;
}

/** An answered call. */
export interface DutyAnswer<T> {
    readonly answer: T;
    readonly fencing: number;
}

/** Sends one call with a fencing number. */
export type DutyCall<T> = (fencing: number, stages: DutyStages) => Promise<T>;

/** Makes the calls that only the holder of a lease may make, and logs each of them. */
export class DutyCaller {
    constructor(private readonly options: DutyCallerOptions) {}

    /**
     * Makes a call if the lease lasts for it and no former holder's call on the subject may still arrive. The store confirms
     * the lease, and records the call, once the connection of the call is open.
     *
     * @param target - duty and subject of the call
     * @param send - sends the call
     * @returns the answer; undefined if the call may not be made now
     * @throws what `send` throws
     */
    async call<T>(target: DutyTarget, send: DutyCall<T>): Promise<DutyAnswer<T> | undefined> {
        const { lease, callTimeoutMs } = this.options;
        const held = lease.readHeldFor(callTimeoutMs, target);
        if (!held) {
            return undefined;
        }
        const record = new DutyCallRecord(this.options, target, held);
        const confirmation = new LeaseConfirmation(this.options, held, target);
        const deadline = new CallDeadline(this.options);
        void deadline.start();
        try {
            const answer = await send(held.fencing, {
                onConnected: () => confirmation.request(),
                onWrite: () => {
                    confirmation.confirmWrite();
                    record.markWritten();
                },
                signal: deadline.signal,
            });
            record.finish(dutyOutcomes.answered);
            confirmation.end();
            return { answer, fencing: held.fencing };
        }
        catch (error) {
            const outcome = toOutcome(error);
            record.finish(outcome, error);
            if (outcome === dutyOutcomes.abandoned) {
                confirmation.abort();
            }
            else {
                confirmation.end();
            }
            throw error;
        }
        finally {
            deadline.stop();
        }
    }
}

const toOutcome = (error: unknown): DutyOutcome => {
    if (!(error instanceof StoreError)) {
        return dutyOutcomes.answered;
    }
    return error.effect === "none" ? dutyOutcomes.unsent : dutyOutcomes.abandoned;
};
