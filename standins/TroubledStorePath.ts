import type { StoreEra } from "../src/feeds/StoreEra";
import type { Clock, RandomSource } from "../src/kernel/types";
import type { MemoryTableService } from "../src/platform/MemoryTableService";
import { StoreError } from "../src/platform/StoreError";
import type { TableService } from "../src/platform/types";

/** What ails the store: probabilities per call, and the longest delay of an answer in milliseconds. */
export interface StoreTroubles {
    readonly refused: number;
    readonly lostAnswer: number;
    readonly lateEffect: number;
    readonly delayMs: number;
}

/** A store whose answers take some milliseconds. */
export const noTroubles: StoreTroubles = { refused: 0, lostAnswer: 0, lateEffect: 0, delayMs: 10 };

/** Longest time after which a write whose answer was lost takes effect, in milliseconds. */
export const maxLateEffectMs = 4_000;

const callTimeoutMs = 700;

/** Options of {@link TroubledStorePath}. */
export interface TroubledStorePathOptions {
    readonly store: { readonly memory: MemoryTableService; readonly era: number; };
    /** Clock of the node, which stands still while the node is paused. */
    readonly clock: Clock;
    /** Clock of the world. */
    readonly world: Clock;
    readonly random: RandomSource;
}

/** A process of the node. */
export interface StoreClient {
    readonly storeEra: StoreEra;
    /** Whether the process still runs; one that has ended gets no answers. */
    readonly isRunning: () => boolean;
}

/** A simulated node's path to the store that all nodes share. */
export class TroubledStorePath {
    troubles: StoreTroubles = noTroubles;
    isCut = false;

    constructor(private readonly options: TroubledStorePathOptions) {}

    /** Ends all that ails the path. */
    recover(): void {
        this.isCut = false;
        this.troubles = noTroubles;
    }

    /** Creates the store as one process sees it. */
    createTables(client: StoreClient): TableService {
        const { memory } = this.options.store;
        const keep = async <T>(result: Promise<T>): Promise<T> => {
            const value = await result;
            return client.isRunning() ? value : new Promise<never>(() => {});
        };
        return {
            transact: operations =>
                keep(this.call(client, async () => memory.commit(operations), this.troubles.lateEffect)),
            read: addresses => keep(this.call(client, () => memory.read(addresses), 0)),
            list: async () => [],
        };
    }

    private async call<T>(
        { storeEra }: StoreClient,
        apply: () => Promise<T>,
        lateEffect: number,
    ): Promise<T> {
        const { random, world, clock, store } = this.options;
        const { refused, lostAnswer, delayMs } = this.troubles;
        await clock.sleep(random.drawInt(delayMs));
        const draw = random.drawFloat();
        if (draw < refused) {
            throw new StoreError("refused", "none");
        }
        if (this.isCut || draw < refused + lateEffect) {
            if (!this.isCut) {
                void world.sleep(random.drawInt(maxLateEffectMs)).then(apply);
            }
            return this.dropAnswer();
        }
        const { era } = store;
        const answer = await apply();
        if (draw < refused + lateEffect + lostAnswer) {
            return this.dropAnswer();
        }
        await clock.sleep(random.drawInt(delayMs));
        if (!storeEra.observe(era)) {
            throw new StoreError("answer of an earlier era", "unknown");
        }
        return answer;
    }

    private async dropAnswer(): Promise<never> {
        await this.options.clock.sleep(callTimeoutMs);
        throw new StoreError("no answer", "unknown");
    }
}
