import type { IncomingMessage } from "node:http";
import { StandInResponse, StandInServer } from "../StandInServer";

interface StoredRow {
    readonly table: string;
    readonly part: string;
    readonly key: string;
    readonly value?: string;
    readonly ver: number;
    readonly removed?: boolean;
}

interface TransactionBody {
    readonly expectedRev?: readonly {
        readonly table: string;
        readonly part: string;
        readonly key: string;
        readonly ver: number;
    }[];
    readonly writes?: readonly StoredRow[];
    readonly remove?: readonly StoredRow[];
}

/** Options of {@link StoreStandIn}. */
export interface StoreStandInOptions {
    /** Changes that the feed can still tell; default 1,000. */
    readonly historyLength?: number;
    /** Most rows of one page; default 500. */
    readonly pageSize?: number;
}

const feedPollMs = 5;

/** Stand-in of the platform's store: rows with versions, transactions under conditions, feeds with a limited history. */
export class StoreStandIn {
    readonly server = new StandInServer((request, _response, body) => this.answer(request, body));
    /** Number of calls so far. */
    callCount = 0;
    /** Whether the next transaction takes effect without an answer. */
    dropsNextResponse = false;
    /** Answers for calls to come, such as 429, the first one next. */
    readonly nextErrorStatuses: number[] = [];
    private readonly rows = new Map<string, StoredRow>();
    private history: StoredRow[] = [];
    private ver = 0;
    private forgottenTo = 0;
    private readonly historyLength: number;
    private readonly pageSize: number;

    constructor(options: StoreStandInOptions = {}) {
        this.historyLength = options.historyLength ?? 1_000;
        this.pageSize = options.pageSize ?? 500;
    }

    /** Host and port; known after the server's start. */
    get address(): string {
        return this.server.url.slice("http://".length);
    }

    /** Writes a row as the operator or an upstream does; undefined removes it. */
    put(table: string, key: string, value: unknown): number {
        this.ver += 1;
        const encoded = value === undefined
            ? undefined
            : Buffer.from(JSON.stringify(value)).toString("base64");
        this.store({
            table,
            part: "",
            key,
            value: encoded,
            ver: this.ver,
            removed: value === undefined || undefined,
        });
        return this.ver;
    }

    /** Reads a row's value; undefined when there is none. */
    readValue(table: string, key: string): unknown {
        const row = this.rows.get(nameRow(table, "", key));
        return row?.value === undefined
            ? undefined
            : JSON.parse(Buffer.from(row.value, "base64").toString("utf8"));
    }

    /** Drops the history, so that feeds must list again. */
    dropHistory(): void {
        this.history = [];
        this.forgottenTo = this.ver;
    }

    private async answer(request: IncomingMessage, body: Buffer): Promise<unknown> {
        this.callCount += 1;
        const refusal = this.nextErrorStatuses.shift();
        if (refusal !== undefined) {
            return new StandInResponse(refusal, { error: "refused" });
        }
        const url = new URL(request.url ?? "/", "http://store");
        switch (url.pathname) {
            case "/api/rows-tx":
                return this.transact(request, JSON.parse(body.toString("utf8")) as TransactionBody);
            case "/api/rows-get":
                return this.listRows(url.searchParams);
            case "/api/rows-feed":
                return await this.waitForChanges(url.searchParams);
        }
        return new StandInResponse(404, { error: "no such call" });
    }

    private transact(request: IncomingMessage, body: TransactionBody): unknown {
        const expected = body.expectedRev ?? [];
        const current = expected.map(({ table, part, key }) => this.rows.get(nameRow(table, part, key)));
        if (expected.some((row, index) => (current[index]?.ver ?? 0) !== row.ver)) {
            return new StandInResponse(412, {
                rows: current.filter(row => row !== undefined),
                ...this.createStamp(),
            });
        }
        this.ver += 1;
        (body.writes ?? []).forEach(row => this.store({ ...row, ver: this.ver }));
        (body.remove ?? []).forEach(row => this.store({ ...row, ver: this.ver, removed: true }));
        if (this.dropsNextResponse) {
            this.dropsNextResponse = false;
            request.socket.destroy();
            return undefined;
        }
        return this.createStamp();
    }

    private listRows(query: URLSearchParams): unknown {
        const from = query.get("from") ?? "";
        const to = query.get("to");
        const limit = Math.min(this.pageSize, Number(query.get("limit") ?? this.pageSize));
        const found = [...this.rows.values()]
            .filter(row => row.table === query.get("table") && row.part === (query.get("part") ?? ""))
            .filter(row => row.key >= from && (to === null || row.key < to))
            .sort((a, b) => a.key < b.key ? -1 : 1);
        return { rows: found.slice(0, limit), hasMore: found.length > limit, ...this.createStamp() };
    }

    private async waitForChanges(query: URLSearchParams): Promise<unknown> {
        const after = Number(query.get("afterRev"));
        const endMs = performance.now() + Number(query.get("waitMs"));
        for (;;) {
            if (after < this.forgottenTo) {
                return new StandInResponse(410, { error: "the history is gone" });
            }
            const rows = this.history.filter(row => row.table === query.get("table") && row.ver > after);
            if (rows.length > 0 || performance.now() >= endMs) {
                return { rows, ...this.createStamp() };
            }
            await new Promise(resolve => setTimeout(resolve, feedPollMs));
        }
    }

    private store(row: StoredRow): void {
        const name = nameRow(row.table, row.part, row.key);
        if (row.removed) {
            this.rows.delete(name);
        }
        else {
            this.rows.set(name, row);
        }
        this.history.push(row);
        while (this.history.length > this.historyLength) {
            this.forgottenTo = this.history.shift()!.ver;
        }
    }

    private createStamp(): { ver: number; nowMs: number; } {
        return { ver: this.ver, nowMs: performance.now() };
    }
}

const nameRow = (table: string, part: string, key: string): string => `${table}\u0000${part}\u0000${key}`;
