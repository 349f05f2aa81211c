import type { Clock } from "../kernel/types";
import { ElapsedTime } from "./ElapsedTime";
import type { Lease } from "./Lease";
import type { HeldLease } from "./types";

/** Options of {@link LeaseConfirmation}. */
export interface LeaseConfirmationOptions {
    readonly lease: Lease;
    readonly clock: Clock;
    /** Time-out of the call, in milliseconds. */
    readonly callTimeoutMs: number;
}

const confirmationShare = 0.5; // of a call's time-out; the rest is left for the call itself

/**
 * Confirmation by the store that a lease is held, for one call. A next holder waits for the time-out of a call before it
 * acts, so that a call that is written soon after it was confirmed arrives first.
 */
export class LeaseConfirmation {
    private sinceRequest: ElapsedTime | undefined;

    constructor(
        private readonly options: LeaseConfirmationOptions,
        private readonly held: HeldLease,
    ) {}

    /**
     * Asks the store.
     *
     * @throws Error if the lease is no longer held; StoreError if the store does not answer
     */
    async request(): Promise<void> {
        this.sinceRequest = new ElapsedTime(this.options.clock);
        if (!await this.options.lease.confirmHeld()) {
            throw new Error("the lease is no longer held");
        }
    }

    /**
     * Checks that the call may be written now.
     *
     * @throws Error if the store was not asked, or too long ago, or the lease is no longer held
     */
    require(): void {
        const ageMs = this.sinceRequest?.readMs() ?? Infinity;
        if (ageMs > this.options.callTimeoutMs * confirmationShare) {
            throw new Error(`the lease was confirmed ${ageMs} ms ago`);
        }
        if (this.options.lease.readHeld()?.fencing !== this.held.fencing) {
            throw new Error("the lease is no longer held");
        }
    }
}
