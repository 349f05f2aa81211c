import { hashToUint32 } from "../_lib/hashToUint32";

/** Options of {@link PrefixIndex}. */
export interface PrefixIndexOptions {
    /** Maximum number of prompt blocks; the least recently added are evicted first. Default 65,536. */
    readonly maxBlocks?: number;
}

const defaultMaxBlocks = 65_536;
const blockCharacters = 256;
const charactersPerToken = 4;
const maxBlocksPerPrompt = 256;

/** Number of tokens in one block of a prompt. */
export const tokensPerBlock = blockCharacters / charactersPerToken;

/**
 * Hashes the blocks of a prompt. Each hash covers the whole text up to the end of its block.
 *
 * @param prompt - text of the prompt
 * @returns one hash for each complete block, at most 256
 */
export const hashPromptBlocks = (prompt: string): string[] => {
    const hashes: string[] = [];
    let prefixHash = 0;
    for (let end = blockCharacters; end <= prompt.length; end += blockCharacters) {
        prefixHash = hashToUint32(`${prefixHash}:${prompt.slice(end - blockCharacters, end)}`);
        hashes.push(`${end / blockCharacters}-${prefixHash.toString(16)}`);
        if (hashes.length === maxBlocksPerPrompt) {
            break;
        }
    }
    return hashes;
};

/** Index of the runners that are assumed to have a prompt block in their KV cache, by block. */
export class PrefixIndex {
    private readonly maxBlocks: number;
    private readonly runnersByBlock = new Map<string, Set<string>>();

    constructor(options: PrefixIndexOptions = {}) {
        this.maxBlocks = options.maxBlocks ?? defaultMaxBlocks;
    }

    get size(): number {
        return this.runnersByBlock.size;
    }

    /** Records that a runner has cached blocks. */
    add(runnerId: string, blocks: readonly string[]): void {
        for (const block of blocks) {
            const runners = this.runnersByBlock.get(block) ?? new Set<string>();
            runners.add(runnerId);
            this.runnersByBlock.delete(block);
            this.runnersByBlock.set(block, runners);
        }
        while (this.runnersByBlock.size > this.maxBlocks) {
            this.runnersByBlock.delete(this.runnersByBlock.keys().next().value!);
        }
    }

    /** Records that a runner has evicted blocks. */
    remove(runnerId: string, blocks: readonly string[]): void {
        for (const block of blocks) {
            const runners = this.runnersByBlock.get(block);
            runners?.delete(runnerId);
            if (runners?.size === 0) {
                this.runnersByBlock.delete(block);
            }
        }
    }

    /** Removes all blocks of a runner, after a gap in its cache events or when the runner is gone. */
    removeRunner(runnerId: string): void {
        for (const [block, runners] of this.runnersByBlock) {
            runners.delete(runnerId);
            if (runners.size === 0) {
                this.runnersByBlock.delete(block);
            }
        }
    }

    /**
     * Counts the tokens of a prompt's prefix that each runner is assumed to have cached.
     *
     * @param blocks - hashes of the prompt's blocks, in order
     * @returns number of tokens by runner id; runners without cached tokens are absent
     */
    countCachedTokens(blocks: readonly string[]): Map<string, number> {
        const tokens = new Map<string, number>();
        for (let index = 0; index < blocks.length; index += 1) {
            const runners = this.runnersByBlock.get(blocks[index]);
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
