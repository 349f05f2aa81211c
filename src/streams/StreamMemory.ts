/** Tracks the memory that answers use on this node. */
export class StreamMemory {
    private used = 0;

    constructor(private readonly maxBytes: number) {}

    /** Bytes in use. */
    get usedBytes(): number {
        return this.used;
    }

    /** Whether the limit is reached; new requests are then refused. */
    get isFull(): boolean {
        return this.used >= this.maxBytes;
    }

    reserve(bytes: number): void {
        this.used += bytes;
    }

    release(bytes: number): void {
        this.used -= bytes;
    }
}
