import type { Agent } from "undici";
import { createServiceAgent } from "./createServiceAgent";
import { sendJson } from "./sendJson";
import type { WeightStore } from "./types";

/** Options of {@link HttpWeightStore}. */
export interface HttpWeightStoreOptions {
    readonly url: string;
    readonly timeoutMs: number;
}

/** Client of the weight store over HTTP and JSON, in the format of the stand-in. */
export class HttpWeightStore implements WeightStore {
    private readonly agent: Agent;

    constructor(private readonly options: HttpWeightStoreOptions) {
        this.agent = createServiceAgent({ maxConnections: 1, connectTimeoutMs: options.timeoutMs });
    }

    async reserveTransfer(model: string): Promise<number> {
        const answer = await sendJson({
            dispatcher: this.agent,
            url: `${this.options.url}/transfers`,
            method: "POST",
            body: { model },
            timeoutMs: this.options.timeoutMs,
        });
        return (answer.body as { waitMs: number; }).waitMs;
    }

    /** Closes the connection. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }
}
