const minBlockBytes = 1_024;
const maxBlockBytes = 65_536;
const noBytes = Buffer.alloc(0);

/**
 * Collects bytes that arrive in chunks. Chunks are copied into larger blocks, since each buffer takes many bytes besides
 * what it holds.
 */
export class ChunkBuffer {
    /** Blocks that are full, or a first chunk that is kept as it is. */
    private readonly full: Buffer[] = [];
    private block = noBytes;
    private blockLength = 0;
    private size = 0;

    /** Number of bytes. */
    get length(): number {
        return this.size;
    }

    /** Adds a chunk. Its bytes must not change afterwards. */
    append(chunk: Buffer): void {
        if (chunk.length > 0 && this.size === 0) {
            this.full.push(chunk);
        }
        else {
            this.fillBlocks(chunk);
        }
        this.size += chunk.length;
    }

    /** Returns all bytes; a single chunk is not copied. */
    toBuffer(): Buffer {
        const parts = this.listParts();
        return parts.length === 1 ? parts[0] : Buffer.concat(parts);
    }

    /** Returns the last bytes, or all of them if there are fewer. */
    readEnd(count: number): Buffer {
        return this.blockLength >= count
            ? this.block.subarray(this.blockLength - count, this.blockLength)
            : Buffer.concat(this.listParts().slice(-2)).subarray(-count);
    }

    /** Removes all bytes. */
    clear(): void {
        this.full.length = 0;
        this.block = noBytes;
        this.blockLength = 0;
        this.size = 0;
    }

    private listParts(): Buffer[] {
        return this.blockLength === 0
            ? this.full
            : [...this.full, this.block.subarray(0, this.blockLength)];
    }

    private fillBlocks(chunk: Buffer): void {
        let position = 0;
        while (position < chunk.length) {
            if (this.blockLength === this.block.length) {
                this.addBlock();
            }
            const copied = chunk.copy(this.block, this.blockLength, position);
            this.blockLength += copied;
            position += copied;
        }
    }

    private addBlock(): void {
        if (this.blockLength > 0) {
            this.full.push(this.block);
        }
        this.block = Buffer.allocUnsafe(Math.min(maxBlockBytes, Math.max(minBlockBytes, this.size)));
        this.blockLength = 0;
    }
}
