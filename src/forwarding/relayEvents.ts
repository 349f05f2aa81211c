import type { ServerResponse } from "node:http";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { waitWithTimeout } from "../kernel/waitWithTimeout";
import type { ExchangeEnd, UpstreamExchange } from "../upstreams/UpstreamExchange";
import type { EventStreamSplitter } from "./EventStreamSplitter";
import type { InterruptKind, RequestInterrupt } from "./RequestInterrupt";

/** Options of {@link relayEvents}. */
export interface RelayEventsOptions {
    readonly exchange: UpstreamExchange;
    readonly splitter: EventStreamSplitter;
    readonly response: ServerResponse;
    readonly interrupt: RequestInterrupt;
    readonly clock: Clock;
    /** Silence of the upstream after which the stream is given up there, in milliseconds. */
    readonly idleTimeoutMs: number;
    /** Called whenever bytes arrive. */
    readonly onBytes: () => void;
    /** Called once with the first whole event. */
    readonly onFirstEvent: () => void;
}

/** How the relaying ended. */
export type RelayOutcome =
    | { readonly kind: "whole"; }
    | { readonly kind: "broken"; readonly message: string; }
    | { readonly kind: "interrupted"; readonly by: InterruptKind; };

/**
 * Passes a stream's events on as they arrive, whole ones only. A caller that reads slowly holds the upstream back.
 *
 * @param options - the exchange and the response, whose headers have been sent
 * @returns how it ended; the response is not ended
 */
export function* relayEvents(options: RelayEventsOptions): Task<RelayOutcome> {
    const { exchange, splitter, response, interrupt, clock } = options;
    let heardMs = clock.readMonotonicMs();
    let isHeldBack = false;
    let hasEvent = false;
    const resume = (): void => {
        isHeldBack = false;
        exchange.resume();
    };
    response.on("drain", resume);
    exchange.listen(chunk => {
        heardMs = clock.readMonotonicMs();
        options.onBytes();
        const batch = splitter.push(chunk);
        if (batch.eventCount > 0 && !hasEvent) {
            hasEvent = true;
            options.onFirstEvent();
        }
        if (batch.bytes.length > 0 && !response.write(batch.bytes)) {
            isHeldBack = true;
            exchange.pause();
        }
    });
    try {
        for (;;) {
            const silentMs = isHeldBack ? 0 : clock.readMonotonicMs() - heardMs;
            if (silentMs >= options.idleTimeoutMs) {
                return { kind: "broken", message: `silent for ${Math.round(silentMs)} ms` };
            }
            const woken = yield* waitFor(
                waitWithTimeout<ExchangeEnd | InterruptKind>({
                    clock,
                    promises: [exchange.ended, interrupt.interrupted],
                    timeoutMs: options.idleTimeoutMs - silentMs,
                }),
            );
            if (typeof woken === "string") {
                return { kind: "interrupted", by: woken };
            }
            if (woken?.isWhole) {
                response.write(splitter.incompleteEvent);
                return { kind: "whole" };
            }
            if (woken) {
                return { kind: "broken", message: woken.message ?? "the stream broke off" };
            }
        }
    }
    finally {
        response.off("drain", resume);
    }
}
