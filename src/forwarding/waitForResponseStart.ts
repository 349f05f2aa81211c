import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { ExchangeStart, UpstreamExchange } from "../upstreams/UpstreamExchange";
import type { InterruptKind, RequestInterrupt } from "./RequestInterrupt";
import { waitForInput } from "./waitForInput";

/** Options of {@link waitForResponseStart}. */
export interface WaitForResponseStartOptions {
    readonly exchange: UpstreamExchange;
    readonly interrupt: RequestInterrupt;
    readonly clock: Clock;
    /** Time after which {@link mayFailOver} is first checked, in milliseconds; undefined disables failover. */
    readonly failoverDelayMs: number | undefined;
    /** Whether the request may be sent to another upstream now. */
    readonly mayFailOver: () => boolean;
}

/** What came first: the head of the answer or a failure, an interrupt, or the decision to fail over (`silent`). */
export type ResponseStartOutcome = ExchangeStart | InterruptKind | "silent";

const recheckIntervalMs = 200; // between checks after the first one

/**
 * Waits for the head of an upstream's answer.
 *
 * @param options - exchange, interrupt and failover delay
 * @returns what came first; the exchange stays open
 */
export function* waitForResponseStart(options: WaitForResponseStartOptions): Task<ResponseStartOutcome> {
    const { exchange, interrupt, clock, failoverDelayMs } = options;
    const promises: Promise<ResponseStartOutcome>[] = [exchange.started, interrupt.interrupted];
    if (failoverDelayMs === undefined) {
        return yield* waitFor(Promise.race(promises));
    }
    for (let timeoutMs = failoverDelayMs;; timeoutMs = recheckIntervalMs) {
        const outcome = yield* waitFor(waitForInput({ clock, promises, timeoutMs }));
        if (outcome !== undefined || options.mayFailOver()) {
            return outcome ?? "silent";
        }
    }
}
