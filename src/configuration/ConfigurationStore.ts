import { type Either, Left, Right } from "purify-ts";
import { parseDeclaration } from "../declaration/parseDeclaration";
import type { Clock } from "../kernel/types";
import { StoreError } from "../platform/StoreError";
import type { Row, RowOperation, TableService } from "../platform/types";
import { createFailure } from "../results/createFailure";
import { resultCodes } from "../results/resultCodes";
import type { Failure } from "../results/types";
import type { ActiveConfiguration } from "./types";

/** Options of {@link ConfigurationStore}. */
export interface ConfigurationStoreOptions {
    readonly tables: TableService;
    readonly clock: Clock;
    /** Maximum number of attempts for one commit; default 5. */
    readonly commitAttempts?: number;
    /** Pause between attempts; default 200 ms. */
    readonly commitRetryMs?: number;
}

/** A change to the configuration. */
export interface ConfigurationChange {
    /** Revision that the change is based on; 0 for the first change. */
    readonly expectRevision: number;
    readonly changeId: string;
    readonly document: unknown;
}

/** Row of a change: the revision that it created, or that it was abandoned. */
interface ChangeRow {
    readonly revision?: number;
    readonly isAbandoned?: boolean;
}

const table = "configuration";
const currentKey = "current";
const storeRetryAfterMs = 1_000;
const revisionDigits = 10;

/** Reads and commits configurations in the table service by compare-and-set on the revision. */
export class ConfigurationStore {
    constructor(private readonly options: ConfigurationStoreOptions) {}

    /**
     * Reads the committed configuration.
     *
     * @returns the configuration, or undefined if none has been committed yet
     * @throws StoreError when the service does not answer
     */
    async read(): Promise<ActiveConfiguration | undefined> {
        const [row] = await this.options.tables.read([{ table, key: currentKey }]);
        return row && toConfiguration(row);
    }

    /**
     * Finds the revision that a change created. A change that is not committed is abandoned, since a transaction without an
     * answer might still be carried out.
     *
     * @param changeId - id of the change
     * @returns the revision, or undefined if the change is not committed and never will be under this id
     * @throws StoreError when the service does not answer
     */
    async settleChange(changeId: string): Promise<number | undefined> {
        const address = { table, key: toChangeKey(changeId) };
        const [found] = await this.options.tables.read([address]);
        if (found) {
            return toCreatedRevision(found);
        }
        const value: ChangeRow = { isAbandoned: true };
        const outcome = await this.options.tables.transact([{
            ...address,
            condition: { kind: "absent" },
            value,
        }]);
        if (outcome.kind === "committed") {
            return undefined;
        }
        const [written] = await this.options.tables.read([address]);
        return toCreatedRevision(written);
    }

    /**
     * Lists the latest committed configurations, oldest first.
     *
     * @param limit - maximum number of entries
     * @throws StoreError when the service does not answer
     */
    async listHistory(limit: number): Promise<ActiveConfiguration[]> {
        const current = await this.read();
        const latest = current?.revision ?? 0;
        const oldest = Math.max(1, latest - limit + 1);
        const revisions = Array.from({ length: latest - oldest + 1 }, (_, index) => oldest + index);
        const rows = await this.options.tables.read(
            revisions.map(revision => ({ table, key: toHistoryKey(revision) })),
        );
        return rows.flatMap(row => row ? [toConfiguration(row)] : []);
    }

    /**
     * Commits a change. A change that was committed before is not committed again.
     *
     * @param change - the change
     * @returns the committed configuration, or a failure: invalid declaration, conflict, unavailable store (not run)
     *     or unknown outcome with the change id
     */
    async commit(change: ConfigurationChange): Promise<Either<Failure, ActiveConfiguration>> {
        const parsed = parseDeclaration(change.document);
        if (parsed.isLeft()) {
            return Left(parsed.swap().unsafeCoerce());
        }
        let current: Row | undefined;
        try {
            const [row, changed] = await this.options.tables.read([
                { table, key: currentKey },
                { table, key: toChangeKey(change.changeId) },
            ]);
            if (changed && row) {
                return this.readCommitted(change);
            }
            current = row;
        }
        catch (error) {
            return Left(toStoreFailure(error));
        }
        const currentRevision = current ? toConfiguration(current).revision : 0;
        if (currentRevision !== change.expectRevision) {
            return Left(toConflict(change, current));
        }
        const next: ActiveConfiguration = {
            revision: currentRevision + 1,
            changeId: change.changeId,
            declaration: parsed.unsafeCoerce(),
            committedAtMs: this.options.clock.readWallMs(),
        };
        return this.commitWithRetries(change, next, toOperations(next, current));
    }

    /** Retries the conditional transaction until the service reports its outcome or the attempts are used up. */
    private async commitWithRetries(
        change: ConfigurationChange,
        next: ActiveConfiguration,
        operations: readonly RowOperation[],
    ): Promise<Either<Failure, ActiveConfiguration>> {
        const attempts = this.options.commitAttempts ?? 5;
        let mayHaveCommitted = false;
        for (let attempt = 0; attempt < attempts; attempt += 1) {
            try {
                const outcome = await this.options.tables.transact(operations);
                if (outcome.kind === "committed") {
                    return Right(next);
                }
                return await this.readCommitted(change);
            }
            catch (error) {
                mayHaveCommitted = mayHaveCommitted || !(error instanceof StoreError)
                    || error.effect === "unknown";
            }
            await this.options.clock.sleep(this.options.commitRetryMs ?? 200);
        }
        if (!mayHaveCommitted) {
            return Left(toStoreFailure(new Error("the table service did not answer")));
        }
        const message =
            `change "${change.changeId}" was sent, but the table service did not report its outcome`;
        return Left(createFailure(resultCodes.configurationUnknown, message));
    }

    /** Reads the outcome of a change from the store: its committed configuration, or a conflict. */
    private async readCommitted(change: ConfigurationChange): Promise<Either<Failure, ActiveConfiguration>> {
        try {
            const [current, changed] = await this.options.tables.read([
                { table, key: currentKey },
                { table, key: toChangeKey(change.changeId) },
            ]);
            const revision = toCreatedRevision(changed);
            if (revision === undefined) {
                return Left(changed ? toAbandoned(change) : toConflict(change, current));
            }
            const [row] = await this.options.tables.read([{ table, key: toHistoryKey(revision) }]);
            return Right(toConfiguration(row!));
        }
        catch {
            const message =
                `the outcome of change "${change.changeId}" could not be read from the table service`;
            return Left(createFailure(resultCodes.configurationUnknown, message));
        }
    }
}

const toHistoryKey = (revision: number): string =>
    `history/${String(revision).padStart(revisionDigits, "0")}`;

const toChangeKey = (changeId: string): string => `change/${changeId}`;

const toConfiguration = (row: Row): ActiveConfiguration => row.value as ActiveConfiguration;

const toCreatedRevision = (row: Row | undefined): number | undefined =>
    (row?.value as ChangeRow | undefined)?.revision;

const toOperations = (next: ActiveConfiguration, current: Row | undefined): RowOperation[] => [
    {
        table,
        key: currentKey,
        condition: current ? { kind: "revision", revision: current.revision } : { kind: "absent" },
        value: next,
    },
    { table, key: toHistoryKey(next.revision), condition: { kind: "absent" }, value: next },
    {
        table,
        key: toChangeKey(next.changeId),
        condition: { kind: "absent" },
        value: { revision: next.revision },
    },
];

const toConflict = (change: ConfigurationChange, current: Row | undefined): Failure => {
    const held = current ? toConfiguration(current) : undefined;
    const message = `revision ${change.expectRevision} was expected, but revision ${held?.revision ?? 0} `
        + `(change "${held?.changeId ?? "none"}") is in force; read it, merge the change and apply it again`;
    return createFailure(resultCodes.configurationConflict, message);
};

const toAbandoned = ({ changeId }: ConfigurationChange): Failure => {
    const message =
        `change "${changeId}" was not committed when its outcome was asked for, and is abandoned; `
        + "apply it again under another id";
    return createFailure(resultCodes.configurationConflict, message);
};

const toStoreFailure = (error: unknown): Failure => {
    const message = `the change was not committed: ${(error as Error).message}`;
    return createFailure(resultCodes.storeUnavailable, message, { retryAfterMs: storeRetryAfterMs });
};
