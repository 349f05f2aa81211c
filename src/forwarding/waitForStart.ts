import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { waitWithin } from "../kernel/waitWithin";
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
    const pending: Promise<AwaitedStart>[] = [exchange.started, interrupt.happened];
    if (patienceMs === undefined) {
        return yield* waitFor(Promise.race(pending));
    }
    for (let waitMs = patienceMs;; waitMs = recheckMs) {
        const first = yield* waitFor(waitWithin({ clock, pending, waitMs }));
        if (first !== undefined || options.mayLeave()) {
            return first ?? "silent";
        }
    }
}
