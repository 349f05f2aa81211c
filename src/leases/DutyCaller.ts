import type { Clock } from "../kernel/types";
import { StoreError } from "../platform/StoreError";
import type { CallStages } from "../platform/types";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { Lease } from "./Lease";
import type { HeldLease } from "./types";

/** Options of {@link DutyCaller}. */
export interface DutyCallerOptions {
    readonly lease: Lease;
    readonly clock: Clock;
    readonly events: EventLog;
    /** Time-out of a call, in milliseconds. */
    readonly callTimeoutMs: number;
}

/** What a call is about. */
export interface DutyTarget {
    readonly duty: string;
    /** Calls about one subject replace each other. */
    readonly subject: string;
}

/** An answered call. */
export interface DutyAnswer<T> {
    readonly answer: T;
    readonly fencing: number;
}

/** Sends one call with a fencing number. */
export type DutyCall<T> = (fencing: number, stages: CallStages) => Promise<T>;

/** How a call ended: `unsent` without a byte written, `abandoned` after it was written, `answered` with any answer. */
const outcomes = { answered: "answered", unsent: "unsent", abandoned: "abandoned" } as const;

type Outcome = typeof outcomes[keyof typeof outcomes];

interface ClockReading {
    readonly monotonicMs: number;
    readonly wallMs: number;
}

const noReading: ClockReading = { monotonicMs: -Infinity, wallMs: -Infinity };

const readClock = (clock: Clock): ClockReading => ({
    monotonicMs: clock.readMonotonicMs(),
    wallMs: clock.readWallMs(),
});

const confirmationShare = 0.5; // of a call's time-out; the rest is left for the call itself

/** Makes the calls that only the holder of a lease may make, and logs each of them. */
export class DutyCaller {
    constructor(private readonly options: DutyCallerOptions) {}

    /**
     * Makes a call if the lease lasts for it. The store confirms the lease once the connection of the call is open.
     *
     * @param target - duty and subject of the call
     * @param send - sends the call
     * @returns the answer; undefined if the lease is not held for long enough
     * @throws what `send` throws
     */
    async call<T>(target: DutyTarget, send: DutyCall<T>): Promise<DutyAnswer<T> | undefined> {
        const { lease, callTimeoutMs } = this.options;
        const held = lease.readHeldFor(callTimeoutMs);
        if (!held) {
            return undefined;
        }
        const record = new DutyCallRecord(this.options, target, held);
        const confirmation = new LeaseConfirmation(this.options, held);
        try {
            const answer = await send(held.fencing, {
                onConnected: () => confirmation.request(),
                onWrite: () => {
                    confirmation.require();
                    record.markWritten();
                },
            });
            record.finish(outcomes.answered);
            return { answer, fencing: held.fencing };
        }
        catch (error) {
            record.finish(toOutcome(error));
            throw error;
        }
    }
}

/**
 * Confirmation by the store that a lease is held, for one call. A next holder waits for the time-out of a call before it
 * acts, so that a call that is written soon after it was confirmed arrives first.
 */
class LeaseConfirmation {
    private requested: ClockReading | undefined;

    constructor(
        private readonly options: Pick<DutyCallerOptions, "clock" | "lease" | "callTimeoutMs">,
        private readonly held: HeldLease,
    ) {}

    async request(): Promise<void> {
        this.requested = readClock(this.options.clock);
        if (!await this.options.lease.confirmHeld()) {
            throw new Error("the lease is no longer held");
        }
    }

    require(): void {
        const now = readClock(this.options.clock);
        const { monotonicMs, wallMs } = this.requested ?? noReading;
        const ageMs = Math.max(now.monotonicMs - monotonicMs, now.wallMs - wallMs);
        if (ageMs > this.options.callTimeoutMs * confirmationShare) {
            throw new Error(`the lease was confirmed ${ageMs} ms ago`);
        }
        if (this.options.lease.readHeld()?.fencing !== this.held.fencing) {
            throw new Error("the lease is no longer held");
        }
    }
}

/** Times of one call, for its log line. */
class DutyCallRecord {
    private readonly checkedMs: number;
    private writtenMs: number | undefined;

    constructor(
        private readonly options: Pick<DutyCallerOptions, "clock" | "events">,
        private readonly target: DutyTarget,
        private readonly held: HeldLease,
    ) {
        this.checkedMs = options.clock.readMonotonicMs();
    }

    markWritten(): void {
        this.writtenMs = this.options.clock.readMonotonicMs();
    }

    finish(outcome: Outcome): void {
        const { held, target, checkedMs, writtenMs } = this;
        const endedMs = this.options.clock.readMonotonicMs();
        this.options.events.emit(eventKinds.dutyCalled, {
            ...target,
            fencing: held.fencing,
            outcome,
            monotonicAgeMs: Math.round(held.monotonicAgeMs),
            wallAgeMs: Math.round(held.wallAgeMs),
            writtenAfterMs: writtenMs === undefined ? undefined : Math.round(writtenMs - checkedMs),
            endedAfterMs: Math.round(endedMs - checkedMs),
        });
    }
}

const toOutcome = (error: unknown): Outcome => {
    if (!(error instanceof StoreError)) {
        return outcomes.answered;
    }
    return error.effect === "none" ? outcomes.unsent : outcomes.abandoned;
};
