/** Counts the memory that answers hold on this node. */
export class StreamMemory {
    private held = 0;

    constructor(private readonly maxBytes: number) {}

    /** Bytes held now. */
    get usedBytes(): number {
        return this.held;
    }

    /** Whether new requests must be refused. */
    get isFull(): boolean {
        return this.held >= this.maxBytes;
    }

    reserve(bytes: number): void {
        this.held += bytes;
    }

    release(bytes: number): void {
        this.held -= bytes;
    }
}
