import { abortReason } from "../_lib/abortReason";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { ExchangeStart, UpstreamExchange } from "../upstreams/UpstreamExchange";
import type { InterruptKind, RequestInterrupt } from "./RequestInterrupt";

/** Options of {@link waitForStart}. */
export interface WaitForStartOptions {
    readonly exchange: UpstreamExchange;
    readonly interrupt: RequestInterrupt;
    readonly clock: Clock;
    /** Time after which {@link mayLeave} is asked, in milliseconds; undefined waits to the end. */
    readonly patienceMs: number | undefined;
    /** Whether the request may be taken to another upstream now. */
    readonly mayLeave: () => boolean;
}

/** What came first: the head of the answer or a failure, the request's end, or the end of the patience. */
export type AwaitedStart = ExchangeStart | InterruptKind | "silent";

const recheckMs = 200; // how soon after the first look an upstream is looked at again

/**
 * Waits for an upstream's first sign of an answer.
 *
 * @param options - the exchange, what interrupts it, and the patience
 * @returns what came first; the exchange is not ended
 */
export function* waitForStart(options: WaitForStartOptions): Task<AwaitedStart> {
    const { exchange, interrupt, clock, patienceMs } = options;
    const outcomes: Promise<AwaitedStart>[] = [exchange.started, interrupt.happened];
    if (patienceMs === undefined) {
        return yield* waitFor(Promise.race(outcomes));
    }
    const timer = new AbortController();
    for (let waitMs = patienceMs;; waitMs = recheckMs) {
        const slept = clock.sleep(waitMs, timer.signal).then(() => "silent" as const);
        const first = yield* waitFor(Promise.race([...outcomes, slept]));
        if (first !== "silent" || options.mayLeave()) {
            timer.abort(abortReason);
            return first;
        }
    }
}
