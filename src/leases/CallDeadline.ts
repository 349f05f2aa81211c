import { abortReason } from "../_lib/abortReason";
import type { Clock } from "../kernel/types";
import { ElapsedTime } from "./ElapsedTime";

/** Options of {@link CallDeadline}. */
export interface CallDeadlineOptions {
    readonly clock: Clock;
    /** Time-out of the call, in milliseconds. */
    readonly callTimeoutMs: number;
}

const pollMs = 50; // bytes that are held up are sent again within some hundred milliseconds after a suspension

/** Time-out of a call by both clocks, as a timer does not count the time for which the VM is suspended. */
export class CallDeadline {
    private readonly expiry = new AbortController();
    private readonly end = new AbortController();

    constructor(private readonly options: CallDeadlineOptions) {}

    /** Aborts when the call has to be given up. */
    get signal(): AbortSignal {
        return this.expiry.signal;
    }

    /** Begins to count; resolves when the call has ended or its time is over. */
    async start(): Promise<void> {
        const { clock, callTimeoutMs } = this.options;
        const elapsed = new ElapsedTime(clock);
        while (!this.end.signal.aborted && elapsed.readMs() <= callTimeoutMs) {
            await clock.sleep(pollMs, this.end.signal);
        }
        if (!this.end.signal.aborted) {
            this.expiry.abort(new Error(`no answer within ${callTimeoutMs} ms by one of the clocks`));
        }
    }

    /** Ends the count, as the call has ended. */
    stop(): void {
        this.end.abort(abortReason);
    }
}
