import { abortReason } from "../_lib/abortReason";
import { waitForPendingInput } from "../_lib/waitForPendingInput";
import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";
import { computeStopTimes } from "./computeStopTimes";
import { isDispatchAllowed } from "./isDispatchAllowed";
import type { BegunStop, PendingDispatch, StopTimes } from "./types";

/** Options of {@link PlannedStop}. */
export interface PlannedStopOptions {
    readonly clock: Clock;
}

const turnIntervalMs = 200; // between records of the time, from which a late signal is seen
const maxLateShare = 1 / 4; // of the grace period; a process that was held up for longer was suspended

/** The planned stop of this node: when it ends, and which requests may still be passed on. */
export class PlannedStop {
    private times: StopTimes | undefined;
    private turnMs: number;
    private readonly listeners = new Set<() => void>();
    private readonly stopController = new AbortController();

    constructor(private readonly options: PlannedStopOptions) {
        this.turnMs = options.clock.readMonotonicMs();
    }

    async start(): Promise<void> {
        void this.recordTurns();
    }

    async stop(): Promise<void> {
        this.stopController.abort(abortReason);
    }

    /** Whether the node is to stop. */
    get isPlanned(): boolean {
        return this.times !== undefined;
    }

    /**
     * Begins the grace period. Where the process was held up, it counts from the time at which it was last not.
     *
     * @param graceMs - length of the grace period, in milliseconds
     * @returns the times of the stop, and how late it began
     */
    begin(graceMs: number): BegunStop {
        const nowMs = this.options.clock.readMonotonicMs();
        const requestedMs = Math.max(this.turnMs, nowMs - graceMs * maxLateShare);
        const times = computeStopTimes({ requestedMs, handledMs: nowMs, graceMs });
        this.times = times;
        void this.announceSteps([times.acceptEndMs, times.answerEndMs]);
        return { ...times, lateMs: nowMs - requestedMs };
    }

    /** Whether a request may be sent to an upstream now. */
    isDispatchAllowed({ deadlineMs, hasBegun }: PendingDispatch): boolean {
        const stop = this.times;
        if (!stop) {
            return true;
        }
        return isDispatchAllowed({ deadlineMs, hasBegun, nowMs: this.options.clock.readMonotonicMs(), stop });
    }

    /** Whether all requests whose response has not begun are to be answered now. */
    isAnswerDue(): boolean {
        return this.times !== undefined && this.options.clock.readMonotonicMs() >= this.times.answerEndMs;
    }

    /** Adds a listener that is called when {@link isDispatchAllowed} or {@link isAnswerDue} may have changed. */
    onStep(listener: () => void): void {
        this.listeners.add(listener);
    }

    /** Removes a listener of {@link onStep}. */
    removeListener(listener: () => void): void {
        this.listeners.delete(listener);
    }

    private async announceSteps(stepsMs: readonly number[]): Promise<void> {
        const { clock } = this.options;
        const { signal } = this.stopController;
        for (const stepMs of stepsMs) {
            while (!signal.aborted && clock.readMonotonicMs() < stepMs) {
                await clock.sleep(stepMs - clock.readMonotonicMs(), signal);
            }
            if (!signal.aborted) {
                [...this.listeners].forEach(listener => listener());
            }
        }
    }

    private async recordTurns(): Promise<void> {
        const { clock } = this.options;
        const { signal } = this.stopController;
        while (!signal.aborted && !this.isPlanned) {
            const nowMs = clock.readMonotonicMs();
            await waitForPendingInput(); // a signal that had arrived by then has been handled
            this.turnMs = nowMs;
            await clock.sleep(turnIntervalMs, signal);
        }
    }
}

/** Name of the planned stop service. */
export const plannedStopName = createServiceName<PlannedStop>("planned-stop");
