import type { Agent } from "undici";
import { createServiceAgent } from "./createServiceAgent";
import { sendJson } from "./sendJson";
import { type StagedCall, StagedSender } from "./StagedSender";
import { StoreError } from "./StoreError";
import type { Cloud, DutyStages, ReclaimNotice, Vm, VmOffer, VmRequest } from "./types";

/** Options of {@link HttpCloud}. */
export interface HttpCloudOptions {
    readonly url: string;
    readonly timeoutMs: number;
}

const maxConnections = 4;
const maxOrderConnections = 2;
const statuses = { ok: 200, notFound: 404 } as const;

/** Client of the cloud API over HTTP and JSON, in the format of the stand-in. */
export class HttpCloud implements Cloud {
    private readonly agent: Agent;
    private readonly orders: StagedSender;

    constructor(private readonly options: HttpCloudOptions) {
        this.agent = createServiceAgent({ maxConnections, connectTimeoutMs: options.timeoutMs });
        this.orders = new StagedSender({
            maxConnections: maxOrderConnections,
            timeoutMs: options.timeoutMs,
        });
    }

    async listVms(): Promise<readonly Vm[]> {
        return (await this.read("/vms") as { vms: Vm[]; }).vms;
    }

    async listNotices(): Promise<readonly ReclaimNotice[]> {
        return (await this.read("/notices") as { notices: ReclaimNotice[]; }).notices;
    }

    async listOffers(): Promise<readonly VmOffer[]> {
        return (await this.read("/offers") as { offers: VmOffer[]; }).offers;
    }

    async requestVm(request: VmRequest, stages: DutyStages): Promise<Vm | undefined> {
        const url = `${this.options.url}/vms`;
        return (await this.order({ url, body: request, stages }) as { vm?: Vm; }).vm;
    }

    async releaseVm(vmId: string, stages: DutyStages): Promise<void> {
        const url = `${this.options.url}/vms/${encodeURIComponent(vmId)}`;
        await this.order({ url, method: "DELETE", stages }, [statuses.ok, statuses.notFound]);
    }

    /** Abandons the orders under way and closes the connections. */
    async close(): Promise<void> {
        await this.orders.close();
        await this.agent.destroy();
    }

    /** Sends an order. A status that is not expected does not say whether it was carried out. */
    private async order(call: StagedCall, expected: readonly number[] = [statuses.ok]): Promise<unknown> {
        const { status, body } = await this.orders.send(call);
        if (!expected.includes(status)) {
            throw new StoreError(`cloud answered with status ${status} to ${call.url}`, "unknown");
        }
        return body;
    }

    private async read(path: string): Promise<unknown> {
        const answer = await sendJson({
            dispatcher: this.agent,
            url: `${this.options.url}${path}`,
            method: "GET",
            timeoutMs: this.options.timeoutMs,
        });
        return answer.body;
    }
}
