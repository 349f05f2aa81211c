import { hashToUint32 } from "../_lib/hashToUint32";

/** Options of {@link PrefixIndex}. */
export interface PrefixIndexOptions {
    /** Prompt blocks remembered; the least recently used go first. Default 65,536. */
    readonly maxBlocks?: number;
}

const defaultMaxBlocks = 65_536;
const blockCharacters = 256;
const charactersPerToken = 4;
const maxBlocksPerPrompt = 256;

/** Number of tokens in one block of a prompt. */
export const tokensPerBlock = blockCharacters / charactersPerToken;

/**
 * Hashes a prompt's blocks; each hash covers all text up to its block's end.
 *
 * @param prompt - the prompt's text
 * @returns one hash per whole block, at most 256
 */
export const hashPromptBlocks = (prompt: string): string[] => {
    const hashes: string[] = [];
    let chained = 0;
    for (let end = blockCharacters; end <= prompt.length; end += blockCharacters) {
        chained = hashToUint32(`${chained}:${prompt.slice(end - blockCharacters, end)}`);
        hashes.push(`${end / blockCharacters}-${chained.toString(16)}`);
        if (hashes.length === maxBlocksPerPrompt) {
            break;
        }
    }
    return hashes;
};

/** Remembers which runners are believed to have which prompt blocks cached. */
export class PrefixIndex {
    private readonly maxBlocks: number;
    private readonly holders = new Map<string, Set<string>>();

    constructor(options: PrefixIndexOptions = {}) {
        this.maxBlocks = options.maxBlocks ?? defaultMaxBlocks;
    }

    get size(): number {
        return this.holders.size;
    }

    /** Notes that a runner has cached blocks. */
    add(runnerId: string, blocks: readonly string[]): void {
        for (const block of blocks) {
            const runners = this.holders.get(block) ?? new Set<string>();
            runners.add(runnerId);
            this.holders.delete(block);
            this.holders.set(block, runners);
        }
        while (this.holders.size > this.maxBlocks) {
            this.holders.delete(this.holders.keys().next().value!);
        }
    }

    /** Notes that a runner no longer has blocks. */
    remove(runnerId: string, blocks: readonly string[]): void {
        for (const block of blocks) {
            const runners = this.holders.get(block);
            runners?.delete(runnerId);
            if (runners?.size === 0) {
                this.holders.delete(block);
            }
        }
    }

    /** Forgets all that is believed of a runner, after a gap in its events or when it is gone. */
    removeRunner(runnerId: string): void {
        for (const [block, runners] of this.holders) {
            runners.delete(runnerId);
            if (runners.size === 0) {
                this.holders.delete(block);
            }
        }
    }

    /**
     * Counts the tokens of a prompt that each runner is believed to have cached.
     *
     * @param blocks - the prompt's block hashes, in order
     * @returns tokens by runner; runners with none are absent
     */
    countCachedTokens(blocks: readonly string[]): Map<string, number> {
        const tokens = new Map<string, number>();
        for (let index = 0; index < blocks.length; index += 1) {
            const runners = this.holders.get(blocks[index]);
            if (!runners) {
                break;
            }
            for (const runner of runners) {
                if ((tokens.get(runner) ?? 0) === index * tokensPerBlock) {
                    tokens.set(runner, (index + 1) * tokensPerBlock);
                }
            }
        }
        return tokens;
    }
}
