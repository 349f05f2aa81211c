import type { IncomingMessage, ServerResponse } from "node:http";
import { StandInResponse, StandInServer } from "../StandInServer";

export interface StoredRow {
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
    /** Number of changes that the feed keeps; default 1,000. */
    readonly historyLength?: number;
    /** Maximum number of rows per page; default 500. */
    readonly pageSize?: number;
}

/** State of the store at one moment. */
export interface StoreCopy {
    readonly rows: ReadonlyMap<string, StoredRow>;
    readonly latestVer: number;
}

const feedPollMs = 5;
const minLongPollMs = 100;
const maxEntries = 100;
const maxNameBytes = 200;
const maxValueBytes = 65_536;

/** Stand-in for the platform's store, with versioned rows, conditional transactions and feeds of limited history. */
export class StoreStandIn {
    readonly server = new StandInServer((request, response, body) => {
        const answer = this.handle(request, body);
        return answer.finally(() => response.setHeader("store-era", String(this.era)))
            .then(result => this.replaceAnswer(result, response));
    });
    /** Number of requests received. */
    callCount = 0;
    /** Whether the next transaction takes effect but its connection is closed without a response. */
    dropsNextResponse = false;
    /** Error statuses for the next requests, in order, such as 429; each is used once. */
    readonly nextErrorStatuses: number[] = [];
    /** Time by which the answers of calls that wait for changes come late, in milliseconds. */
    feedDelayMs = 0;
    /** Changes the text of the next answers with status 200, in order; each is used once. */
    readonly nextReplacements: ((text: string) => string)[] = [];
    private readonly rows = new Map<string, StoredRow>();
    private history: StoredRow[] = [];
    private era = 1;
    private latestVer = 0;
    private droppedUpToVer = 0;
    private readonly historyLength: number;
    private readonly pageSize: number;

    constructor(options: StoreStandInOptions = {}) {
        this.historyLength = options.historyLength ?? 1_000;
        this.pageSize = options.pageSize ?? 500;
    }

    /** Host and port; available once the server has started. */
    get address(): string {
        return this.server.url.slice("http://".length);
    }

    /**
     * Writes a row without a condition, as the operator or an upstream does.
     *
     * @param value - new value; undefined removes the row
     * @returns version of the write
     */
    put(table: string, key: string, value: unknown): number {
        return this.putEncoded(
            table,
            key,
            value === undefined ? undefined : Buffer.from(JSON.stringify(value)).toString("base64"),
        );
    }

    /**
     * Writes a row whose value need not be JSON in base64, as another writer may.
     *
     * @param encoded - the value as it is stored; undefined removes the row
     * @returns version of the write
     */
    putEncoded(table: string, key: string, encoded: string | undefined): number {
        this.latestVer += 1;
        const removed = encoded === undefined || undefined;
        this.applyChange({ table, part: "", key, value: encoded, ver: this.latestVer, removed });
        return this.latestVer;
    }

    /** Reads the value of a row, or undefined if there is no such row. */
    readValue(table: string, key: string): unknown {
        const row = this.rows.get(formatRowKey(table, "", key));
        return row?.value === undefined
            ? undefined
            : JSON.parse(Buffer.from(row.value, "base64").toString("utf8"));
    }

    /** Drops the history of changes; feeds then answer 410 and their readers have to list the rows again. */
    dropHistory(): void {
        this.history = [];
        this.droppedUpToVer = this.latestVer;
    }

    /** Copies the current state, for {@link restore}. */
    takeCopy(): StoreCopy {
        return { rows: new Map(this.rows), latestVer: this.latestVer };
    }

    /** Replaces the state by an older copy. Later writes are lost, and their versions are assigned again. */
    restore(copy: StoreCopy): void {
        this.rows.clear();
        copy.rows.forEach((row, name) => this.rows.set(name, row));
        this.history = this.history.filter(row => row.ver <= copy.latestVer);
        this.latestVer = copy.latestVer;
        this.era += 1;
    }

    private async handle(request: IncomingMessage, body: Buffer): Promise<unknown> {
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
        return new StandInResponse(404, { error: "path does not exist" });
    }

    private replaceAnswer(result: unknown, response: ServerResponse): unknown {
        if (result === undefined || result instanceof StandInResponse || this.nextReplacements.length === 0) {
            return result;
        }
        const replace = this.nextReplacements.shift()!;
        response.end(replace(JSON.stringify(result)));
        return undefined;
    }

    private transact(request: IncomingMessage, body: TransactionBody): unknown {
        if (!isWithinLimits(body)) {
            return new StandInResponse(400, { error: "too many entries, or a key or value is too long" });
        }
        const expected = body.expectedRev ?? [];
        const current = expected.map(({ table, part, key }) => this.rows.get(formatRowKey(table, part, key)));
        if (expected.some((row, index) => (current[index]?.ver ?? 0) !== row.ver)) {
            return new StandInResponse(412, {
                rows: current.filter(row => row !== undefined),
                ...this.readVersionAndTime(),
            });
        }
        this.latestVer += 1;
        (body.writes ?? []).forEach(row => this.applyChange({ ...row, ver: this.latestVer }));
        (body.remove ?? []).forEach(row => this.applyChange({ ...row, ver: this.latestVer, removed: true }));
        if (this.dropsNextResponse) {
            this.dropsNextResponse = false;
            request.socket.destroy();
            return undefined;
        }
        return this.readVersionAndTime();
    }

    private listRows(query: URLSearchParams): unknown {
        const from = query.get("from") ?? "";
        const to = query.get("to");
        const limit = Math.min(this.pageSize, Number(query.get("limit") ?? this.pageSize));
        const found = [...this.rows.values()]
            .filter(row => row.table === query.get("table") && row.part === (query.get("part") ?? ""))
            .filter(row => row.key >= from && (to === null || row.key < to))
            .sort((a, b) => a.key < b.key ? -1 : 1);
        return { rows: found.slice(0, limit), hasMore: found.length > limit, ...this.readVersionAndTime() };
    }

    private async waitForChanges(query: URLSearchParams): Promise<unknown> {
        const after = Number(query.get("afterRev"));
        const endMs = performance.now() + Number(query.get("waitMs"));
        for (;;) {
            if (after < this.droppedUpToVer || after > this.latestVer) {
                return new StandInResponse(410, { error: "changes after this version are no longer kept" });
            }
            const rows = this.history.filter(row => row.table === query.get("table") && row.ver > after);
            if (rows.length > 0 || performance.now() >= endMs) {
                const answer = { rows, ...this.readVersionAndTime() };
                await this.delayFeed(Number(query.get("waitMs")));
                return answer;
            }
            await new Promise(resolve => setTimeout(resolve, feedPollMs));
        }
    }

    private async delayFeed(waitMs: number): Promise<void> {
        if (this.feedDelayMs > 0 && waitMs >= minLongPollMs) {
            await new Promise(resolve => setTimeout(resolve, this.feedDelayMs));
        }
    }

    private applyChange(row: StoredRow): void {
        const name = formatRowKey(row.table, row.part, row.key);
        if (row.removed) {
            this.rows.delete(name);
        }
        else {
            this.rows.set(name, row);
        }
        this.history.push(row);
        while (this.history.length > this.historyLength) {
            this.droppedUpToVer = this.history.shift()!.ver;
        }
    }

    private readVersionAndTime(): { ver: number; nowMs: number; } {
        return { ver: this.latestVer, nowMs: performance.now() };
    }
}

/** Whether a transaction is within the limits of the store. */
const isWithinLimits = ({ expectedRev = [], writes = [], remove = [] }: TransactionBody): boolean => {
    const entries = [...expectedRev, ...writes, ...remove];
    return entries.length <= maxEntries
        && entries.every(({ table, key }) => isName(table) && isName(key))
        && writes.every(({ value = "" }) => value.length <= maxValueBytes);
};

const isName = (text: string): boolean => Buffer.byteLength(text) <= maxNameBytes;

const formatRowKey = (table: string, part: string, key: string): string =>
    `${table}\u0000${part}\u0000${key}`;
