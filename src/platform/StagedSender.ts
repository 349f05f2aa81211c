import { Agent } from "node:http";
import type { JsonAnswer } from "./sendJson";
import { sendStagedJson, type SendStagedJsonOptions } from "./sendStagedJson";
import type { DutyStages } from "./types";

/** Options of {@link StagedSender}. */
export interface StagedSenderOptions {
    /** Maximum number of open connections. */
    readonly maxConnections: number;
    /** Time-out of a call, in milliseconds. */
    readonly timeoutMs: number;
}

/** A call to send in steps. */
export interface StagedCall extends Pick<SendStagedJsonOptions, "url" | "method" | "body" | "headers"> {
    readonly stages: DutyStages;
}

/** Connections to one service for the calls that only the holder of a lease makes, one for each call. */
export class StagedSender {
    private readonly agent: Agent;
    /** Calls under way, each with its end. */
    private readonly calls = new Map<AbortController, Promise<unknown>>();

    constructor(private readonly options: StagedSenderOptions) {
        this.agent = new Agent({ maxSockets: options.maxConnections });
    }

    /**
     * Sends a call in steps, and gives it up when its time is over or its caller says so.
     *
     * @param call - destination, request and what to call at each step
     * @returns status, headers and parsed body
     * @throws StoreError as {@link sendStagedJson} does
     */
    async send({ stages, ...request }: StagedCall): Promise<JsonAnswer> {
        const { timeoutMs } = this.options;
        const call = new AbortController();
        const timer = setTimeout(() => call.abort(new Error(`no answer within ${timeoutMs} ms`)), timeoutMs);
        const answered = sendStagedJson({ ...request, agent: this.agent, signal: call.signal, stages });
        this.calls.set(call, answered);
        stages.signal.addEventListener("abort", () => call.abort(stages.signal.reason), { once: true });
        try {
            return await answered;
        }
        finally {
            clearTimeout(timer);
            this.calls.delete(call);
        }
    }

    /** Abandons the calls under way and closes the connections. */
    async close(): Promise<void> {
        const ended = Promise.allSettled(this.calls.values());
        this.calls.forEach((_end, call) => call.abort(new Error("the node stops")));
        await ended; // the agent would close the connections of these calls in order, and not reset them
        this.agent.destroy();
    }
}
