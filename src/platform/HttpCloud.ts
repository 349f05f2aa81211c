import type { Agent } from "undici";
import { createServiceAgent } from "./createServiceAgent";
import { sendJson } from "./sendJson";
import type { Cloud, ReclaimNotice, Vm, VmOffer, VmRequest } from "./types";

/** Options of {@link HttpCloud}. */
export interface HttpCloudOptions {
    readonly url: string;
    readonly timeoutMs: number;
}

const maxConnections = 4;

/** Client of the cloud API over HTTP and JSON, in the format of the stand-in. */
export class HttpCloud implements Cloud {
    private readonly agent: Agent;

    constructor(private readonly options: HttpCloudOptions) {
        this.agent = createServiceAgent({ maxConnections, connectTimeoutMs: options.timeoutMs });
    }

    async listVms(): Promise<readonly Vm[]> {
        return (await this.send("GET", "/vms") as { vms: Vm[]; }).vms;
    }

    async listNotices(): Promise<readonly ReclaimNotice[]> {
        return (await this.send("GET", "/notices") as { notices: ReclaimNotice[]; }).notices;
    }

    async listOffers(): Promise<readonly VmOffer[]> {
        return (await this.send("GET", "/offers") as { offers: VmOffer[]; }).offers;
    }

    async requestVm(request: VmRequest): Promise<Vm | undefined> {
        return (await this.send("POST", "/vms", request) as { vm?: Vm; }).vm;
    }

    async releaseVm(vmId: string): Promise<void> {
        await this.send("DELETE", `/vms/${encodeURIComponent(vmId)}`);
    }

    /** Closes the connections. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }

    private async send(method: "GET" | "POST" | "DELETE", path: string, body?: unknown): Promise<unknown> {
        const answer = await sendJson({
            dispatcher: this.agent,
            url: `${this.options.url}${path}`,
            method,
            body,
            timeoutMs: this.options.timeoutMs,
        });
        return answer.body;
    }
}
