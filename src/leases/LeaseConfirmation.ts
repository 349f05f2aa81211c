import type { Clock } from "../kernel/types";
import { confirmationShare } from "./constants";
import type { ElapsedTime } from "./ElapsedTime";
import type { Lease } from "./Lease";
import type { DutyTarget, HeldLease } from "./types";

/** Options of {@link LeaseConfirmation}. */
export interface LeaseConfirmationOptions {
    readonly lease: Lease;
    readonly clock: Clock;
    /** Time-out of the call, in milliseconds. */
    readonly callTimeoutMs: number;
}

/**
 * Confirmation by the store that a lease is held, for one call. The same write records the call, so that a next holder
 * knows of it. A next holder waits for the time-out of a call before it acts, and longer for calls that were under way, so
 * that a call that is written soon after it was confirmed arrives first.
 */
export class LeaseConfirmation {
    private sinceConfirmation: ElapsedTime | undefined;
    /** Monotonic time at which the call was written. */
    private writtenAtMs: number | undefined;
    private isBegun = false;

    constructor(
        private readonly options: LeaseConfirmationOptions,
        private readonly held: HeldLease,
        private readonly target: DutyTarget,
    ) {}

    /**
     * Asks the store to record the call.
     *
     * @throws Error if the store does not confirm the lease; StoreError if it does not answer
     */
    async request(): Promise<void> {
        this.isBegun = true;
        this.sinceConfirmation = await this.options.lease.beginCall(this.target);
        if (!this.sinceConfirmation) {
            throw new Error("the store has not confirmed the lease");
        }
    }

    /**
     * Checks that the call may be written now, and takes it for written from then on.
     *
     * @throws Error if the store was not asked, or too long ago, or the lease is no longer held
     */
    confirmWrite(): void {
        const ageMs = this.sinceConfirmation?.readMs() ?? Infinity;
        if (ageMs > this.options.callTimeoutMs * confirmationShare) {
            throw new Error(`the lease was confirmed ${ageMs} ms ago`);
        }
        if (this.options.lease.readHeld()?.fencing !== this.held.fencing) {
            throw new Error("the lease is no longer held");
        }
        this.writtenAtMs = this.options.clock.readMonotonicMs();
    }

    /** Ends the call: it was answered, or was never written. */
    end(): void {
        if (this.isBegun) {
            void this.options.lease.endCall(this.target);
        }
    }

    /** Gives the call up: it may have been written, and has no answer. */
    abort(): void {
        if (this.isBegun) {
            const writtenAtMs = this.writtenAtMs ?? this.options.clock.readMonotonicMs();
            this.options.lease.abortCall(this.target, writtenAtMs);
        }
    }
}
