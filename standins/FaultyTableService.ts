import type { Clock, RandomSource } from "../src/kernel/types";
import { MemoryTableService } from "../src/platform/MemoryTableService";
import { StoreError } from "../src/platform/StoreError";
import type { Row, RowAddress, RowOperation, TableService, TransactionOutcome } from "../src/platform/types";

/** Probabilities of faults per call, each from 0 to 1. */
export interface TableFaults {
    /** The call fails and has no effect. */
    readonly outage: number;
    /** The transaction takes effect, but the caller gets an error. */
    readonly lostAnswer: number;
    /** The caller gets an error, and the transaction takes effect later. */
    readonly lateEffect: number;
}

/** Options of {@link FaultyTableService}. */
export interface FaultyTableServiceOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly faults: TableFaults;
}

const maxCallDelayMs = 20;
const maxLateEffectMs = 400;

/** In-memory table service with simulated latency, outages, lost answers and delayed effects. */
export class FaultyTableService implements TableService {
    readonly memory = new MemoryTableService();
    /** Current fault probabilities; tests set them to 0 so that the system can settle. */
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
            const lateMs = this.options.random.drawInt(maxLateEffectMs);
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
        return this.options.clock.sleep(this.options.random.drawInt(maxCallDelayMs));
    }
}
