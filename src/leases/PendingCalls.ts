import type { Clock } from "../kernel/types";
import type { DutyTarget, PendingWaits } from "./types";

/** Options of {@link PendingCalls}. */
export interface PendingCallsOptions {
    readonly clock: Clock;
    /** Time after its confirmation in which a call may still arrive, in milliseconds. */
    readonly lateArrivalMs: number;
}

/** Wait of the calls on a duty and subject. */
export interface TargetWait extends DutyTarget {
    readonly waitMs: number;
}

/** Key of a call whose duty and subject are not known. */
export const anySubject = "*";

/** Bounds the size of a lease's row; with more, all subjects wait. */
export const maxPendingSubjects = 32;

/**
 * Calls that may still be carried out by the platform: those that this process has under way or has given up, and those that
 * former holders may have had under way or given up. The row of the lease lists all of them for the next holder.
 */
export class PendingCalls {
    /** Number of own calls under way, by subject. */
    private readonly underWay = new Map<string, number>();
    /** Monotonic time until which an own call that was given up may arrive, by subject. */
    private readonly abortedUntilMs = new Map<string, number>();
    /** Monotonic time until which a former holder's call may arrive, by subject. */
    private readonly inheritedUntilMs = new Map<string, number>();
    /** Subjects of own calls when the calls were last listed for the row. */
    private recorded: readonly string[] = [];

    constructor(private readonly options: PendingCallsOptions) {}

    /** Adds a call of this process. */
    begin(target: DutyTarget): void {
        const key = formatSubjectKey(target);
        this.underWay.set(key, (this.underWay.get(key) ?? 0) + 1);
    }

    /** Removes a call that was answered or was never written. */
    end(target: DutyTarget): void {
        const key = formatSubjectKey(target);
        const count = (this.underWay.get(key) ?? 0) - 1;
        if (count > 0) {
            this.underWay.set(key, count);
        }
        else {
            this.underWay.delete(key);
        }
    }

    /**
     * Takes a call for given up. It may still be carried out: bytes that have left may be read late, even if their
     * connection was reset.
     *
     * @param target - the call
     * @param writtenAtMs - when it was written, by the monotonic clock
     */
    abort(target: DutyTarget, writtenAtMs: number): void {
        this.end(target);
        setLatest(this.abortedUntilMs, formatSubjectKey(target), writtenAtMs + this.options.lateArrivalMs);
    }

    /**
     * Adds the calls that former holders may have had under way.
     *
     * @param waits - remaining times, as of the moment
     * @param atMs - the moment, by the monotonic clock
     */
    adopt(waits: PendingWaits, atMs: number): void {
        for (const [key, waitMs] of Object.entries(waits)) {
            setLatest(this.inheritedUntilMs, key, atMs + waitMs);
        }
    }

    /** Returns the time until calls on a subject may be made, in milliseconds; 0 if they may be made now. */
    computeWaitMs(target: DutyTarget): number {
        const waits = this.listRemaining(this.inheritedUntilMs);
        return Math.max(0, waits[formatSubjectKey(target)] ?? 0, waits[anySubject] ?? 0);
    }

    /** Describes the inherited calls that may still arrive; duty and subject are {@link anySubject} if they are not known. */
    describeWaits(): readonly TargetWait[] {
        return Object.entries(this.listRemaining(this.inheritedUntilMs)).map(([key, waitMs]) => ({
            ...toTarget(key),
            waitMs,
        }));
    }

    /** Lists, for the row, all calls that may still arrive if this process ended now. */
    listForRecord(): PendingWaits {
        const { lateArrivalMs } = this.options;
        this.recorded = [...this.underWay.keys()];
        const own = Object.fromEntries(this.recorded.map(key => [key, lateArrivalMs]));
        const aborted = this.listRemaining(this.abortedUntilMs);
        const waits = mergeLonger(mergeLonger(this.listRemaining(this.inheritedUntilMs), aborted), own);
        return Object.keys(waits).length > maxPendingSubjects ? { [anySubject]: lateArrivalMs } : waits;
    }

    /** Whether calls have ended since they were listed for the row. */
    isRecordOutdated(): boolean {
        return this.recorded.some(key => !this.underWay.has(key) && !this.abortedUntilMs.has(key));
    }

    private listRemaining(untilMsByKey: Map<string, number>): PendingWaits {
        const nowMs = this.options.clock.readMonotonicMs();
        const waits: Record<string, number> = {};
        for (const [key, untilMs] of untilMsByKey) {
            if (untilMs > nowMs) {
                waits[key] = Math.ceil(untilMs - nowMs);
            }
            else {
                untilMsByKey.delete(key);
            }
        }
        return waits;
    }
}

/** Moves the end of a wait to a later time; an earlier one changes nothing. */
const setLatest = (untilMsByKey: Map<string, number>, key: string, untilMs: number): void => {
    untilMsByKey.set(key, Math.max(untilMs, untilMsByKey.get(key) ?? 0));
};

const mergeLonger = (first: PendingWaits, second: PendingWaits): PendingWaits => {
    const merged = Object.entries(second).map(([key, waitMs]) => [key, Math.max(waitMs, first[key] ?? 0)]);
    return { ...first, ...Object.fromEntries(merged) as PendingWaits };
};

const formatSubjectKey = ({ duty, subject }: DutyTarget): string => `${duty} ${subject}`;

const toTarget = (key: string): DutyTarget => {
    const [duty, ...subject] = key.split(" ");
    return { duty, subject: key === anySubject ? anySubject : subject.join(" ") };
};
