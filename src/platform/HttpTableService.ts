import type { Agent } from "undici";
import { createServiceAgent } from "./createServiceAgent";
import { sendJson } from "./sendJson";
import { StoreError } from "./StoreError";
import type { Row, RowAddress, RowOperation, TableService, TransactionOutcome } from "./types";

/** Options of {@link HttpTableService}. */
export interface HttpTableServiceOptions {
    readonly url: string;
    readonly timeoutMs: number;
}

const maxConnections = 16;

/** Client of the table service over HTTP and JSON, in the format of the stand-in. */
export class HttpTableService implements TableService {
    private readonly agent: Agent;

    constructor(private readonly options: HttpTableServiceOptions) {
        this.agent = createServiceAgent({ maxConnections, connectTimeoutMs: options.timeoutMs });
    }

    async transact(operations: readonly RowOperation[]): Promise<TransactionOutcome> {
        return await this.post("/transact", { operations }) as TransactionOutcome;
    }

    async read(addresses: readonly RowAddress[]): Promise<readonly (Row | undefined)[]> {
        const answer = await this.post("/read", { addresses }) as { rows: (Row | { absent: true; })[]; };
        return answer.rows.map(row => "absent" in row ? undefined : row);
    }

    async list(table: string, prefix: string, limit: number, after?: string): Promise<readonly Row[]> {
        const answer = await this.post("/list", { table, prefix, limit, after }) as { rows: Row[]; };
        return answer.rows;
    }

    /** Closes the connections. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }

    private async post(path: string, body: unknown): Promise<unknown> {
        const answer = await sendJson({
            dispatcher: this.agent,
            url: `${this.options.url}${path}`,
            method: "POST",
            body,
            timeoutMs: this.options.timeoutMs,
        });
        if (answer.status !== 200) {
            throw new StoreError(`table service answered with status ${answer.status} to ${path}`, "unknown");
        }
        return answer.body;
    }
}
