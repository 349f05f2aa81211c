import type { ServerResponse } from "node:http";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { answerFramings, type ExchangeEnd, type UpstreamExchange } from "../upstreams/UpstreamExchange";
import type { EventStreamSplitter } from "./EventStreamSplitter";
import type { InterruptKind, RequestInterrupt } from "./RequestInterrupt";
import { waitForInput } from "./waitForInput";

/** Options of {@link relayEvents}. */
export interface RelayEventsOptions {
    readonly exchange: UpstreamExchange;
    readonly splitter: EventStreamSplitter;
    readonly response: ServerResponse;
    readonly interrupt: RequestInterrupt;
    readonly clock: Clock;
    /**
     * Time without a complete event with an id after which {@link isResumableElsewhere} is first asked, in milliseconds. Other
     * bytes do not extend it.
     */
    readonly idleTimeoutMs: number;
    /** Whether the stream may go on at another upstream now, after a time without an event, in milliseconds. */
    readonly isResumableElsewhere: (idleMs: number) => boolean;
    /** Called whenever a chunk arrives. */
    readonly onData: () => void;
    /** Called once, when the first complete event with an id arrives. */
    readonly onFirstEvent: () => void;
}

const recheckIntervalMs = 200; // between questions whether the stream may go on elsewhere
const foreignMessage = "the upstream sends bytes that are no events";

/** How relaying a stream ended. */
export type RelayOutcome =
    | { readonly kind: "whole"; }
    | { readonly kind: "broken"; readonly message: string; readonly isIdle?: boolean; }
    | { readonly kind: "interrupted"; readonly by: InterruptKind; };

/**
 * Relays the events of a stream as they arrive, complete events only. Applies backpressure: reading from the upstream
 * pauses while the caller's connection is full, and that time does not count as idle. An upstream that falls silent is left
 * only if the stream may go on elsewhere.
 *
 * @param options - exchange, splitter, and the response, whose headers have been sent
 * @returns how the stream ended; the response stays open
 */
export function* relayEvents(options: RelayEventsOptions): Task<RelayOutcome> {
    const { exchange, splitter, response, interrupt, clock } = options;
    let lastEventMs = clock.readMonotonicMs();
    let isPaused = false;
    let hasEvent = false;
    let hasBytes = false;
    const resume = (): void => {
        isPaused = false;
        lastEventMs = clock.readMonotonicMs();
        exchange.resume();
    };
    response.on("drain", resume);
    exchange.listen(chunk => {
        options.onData();
        hasBytes = true;
        const batch = splitter.push(chunk);
        if (splitter.isForeign) {
            exchange.abort(foreignMessage);
        }
        if (batch.eventCount > 0) {
            lastEventMs = clock.readMonotonicMs();
        }
        if (batch.eventCount > 0 && !hasEvent) {
            hasEvent = true;
            options.onFirstEvent();
        }
        if (batch.bytes.length > 0 && !response.write(batch.bytes)) {
            isPaused = true;
            exchange.pause();
        }
    });
    try {
        for (;;) {
            const idleMs = isPaused ? 0 : clock.readMonotonicMs() - lastEventMs;
            if (idleMs >= options.idleTimeoutMs && options.isResumableElsewhere(idleMs)) {
                const message = `no event from the upstream for ${Math.round(idleMs)} ms`;
                return { kind: "broken", message, isIdle: true };
            }
            const outcome = yield* waitFor(
                waitForInput<ExchangeEnd | InterruptKind>({
                    clock,
                    promises: [exchange.ended, interrupt.interrupted],
                    timeoutMs: idleMs < options.idleTimeoutMs
                        ? options.idleTimeoutMs - idleMs
                        : recheckIntervalMs,
                }),
            );
            if (typeof outcome === "string") {
                return { kind: "interrupted", by: outcome };
            }
            if (outcome && splitter.isForeign) {
                return { kind: "broken", message: foreignMessage };
            }
            if (outcome?.isWhole && splitter.isInsideEvent) {
                return { kind: "broken", message: "the stream ended inside an event" };
            }
            if (outcome?.isWhole && !hasBytes && exchange.framing === answerFramings.close) {
                return { kind: "broken", message: "the connection ended before the first event" };
            }
            if (outcome?.isWhole) {
                response.write(splitter.incompleteEvent);
                return { kind: "whole" };
            }
            if (outcome) {
                return { kind: "broken", message: outcome.message ?? "the stream ended early" };
            }
        }
    }
    finally {
        response.off("drain", resume);
    }
}
