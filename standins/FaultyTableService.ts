import type { Clock, RandomSource } from "../src/kernel/types";
import { MemoryTableService } from "../src/platform/MemoryTableService";
import { StoreError } from "../src/platform/StoreError";
import type { Row, RowAddress, RowOperation, TableService, TransactionOutcome } from "../src/platform/types";

/** Chances of faults per call, 0 to 1. */
export interface TableFaults {
    /** The call fails and has no effect. */
    readonly outage: number;
    /** The call takes effect and its answer is lost. */
    readonly lostAnswer: number;
    /** The answer is lost and the call takes effect only later. */
    readonly lateEffect: number;
}

/** Options of {@link FaultyTableService}. */
export interface FaultyTableServiceOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly faults: TableFaults;
}

const maxDelayMs = 20;
const maxLateMs = 400;

/** Table service in memory whose calls take time, fail, lose answers or take effect late. */
export class FaultyTableService implements TableService {
    readonly memory = new MemoryTableService();
    /** Faults in force; tests switch them off to let the system settle. */
    faults: TableFaults;

    constructor(private readonly options: FaultyTableServiceOptions) {
        this.faults = options.faults;
    }

    async transact(operations: readonly RowOperation[]): Promise<TransactionOutcome> {
        await this.delay();
        const draw = this.options.random.drawFloat();
        const { outage, lostAnswer, lateEffect } = this.faults;
        if (draw < outage) {
            throw new StoreError("outage", "none");
        }
        if (draw < outage + lostAnswer) {
            this.memory.commit(operations);
            throw new StoreError("the answer was lost", "unknown");
        }
        if (draw < outage + lostAnswer + lateEffect) {
            const lateMs = this.options.random.drawInt(maxLateMs);
            void this.options.clock.sleep(lateMs).then(() => this.memory.commit(operations));
            throw new StoreError("the answer was lost", "unknown");
        }
        const outcome = this.memory.commit(operations);
        await this.delay();
        return outcome;
    }

    async read(addresses: readonly RowAddress[]): Promise<readonly (Row | undefined)[]> {
        await this.failOrDelay();
        return this.memory.read(addresses);
    }

    async list(table: string, prefix: string, limit: number, after?: string): Promise<readonly Row[]> {
        await this.failOrDelay();
        return this.memory.list(table, prefix, limit, after);
    }

    private async failOrDelay(): Promise<void> {
        await this.delay();
        if (this.options.random.drawFloat() < this.faults.outage) {
            throw new StoreError("outage", "none");
        }
    }

    private delay(): Promise<void> {
        return this.options.clock.sleep(this.options.random.drawInt(maxDelayMs));
    }
}
