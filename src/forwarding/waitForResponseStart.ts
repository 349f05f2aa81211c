import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { waitWithTimeout } from "../kernel/waitWithTimeout";
import type { ExchangeStart, UpstreamExchange } from "../upstreams/UpstreamExchange";
import type { InterruptKind, RequestInterrupt } from "./RequestInterrupt";

/** Options of {@link waitForResponseStart}. */
export interface WaitForResponseStartOptions {
    readonly exchange: UpstreamExchange;
    readonly interrupt: RequestInterrupt;
    readonly clock: Clock;
    /** Time after which {@link mayFailOver} is asked, in milliseconds; undefined waits to the end. */
    readonly failoverDelayMs: number | undefined;
    /** Whether the request may be taken to another upstream now. */
    readonly mayFailOver: () => boolean;
}

/** What came first: the head of the answer or a failure, the request's end, or the end of the patience. */
export type ResponseStartOutcome = ExchangeStart | InterruptKind | "silent";

const recheckMs = 200; // how soon after the first look an upstream is looked at again

/**
 * Waits for an upstream's first sign of an answer.
 *
 * @param options - the exchange, what interrupts it, and the patience
 * @returns what came first; the exchange is not ended
 */
export function* waitForResponseStart(options: WaitForResponseStartOptions): Task<ResponseStartOutcome> {
    const { exchange, interrupt, clock, failoverDelayMs } = options;
    const pending: Promise<ResponseStartOutcome>[] = [exchange.started, interrupt.interrupted];
    if (failoverDelayMs === undefined) {
        return yield* waitFor(Promise.race(pending));
    }
    for (let waitMs = failoverDelayMs;; waitMs = recheckMs) {
        const first = yield* waitFor(waitWithTimeout({ clock, promises: pending, timeoutMs: waitMs }));
        if (first !== undefined || options.mayFailOver()) {
            return first ?? "silent";
        }
    }
}
