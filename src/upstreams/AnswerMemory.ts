/** Memory held for one request; released as a whole. */
export interface HeldMemory {
    /** Takes memory; returns false, and takes nothing, if the limit would be exceeded. */
    readonly take: (bytes: number) => boolean;
    readonly release: () => void;
}

/** Limits the memory that collected answers take on a node, over all requests. */
export class AnswerMemory {
    private used = 0;

    /** @param maxBytes - limit, in bytes */
    constructor(private readonly maxBytes: number = defaultMaxBytes) {}

    /** Bytes in use. */
    get usedBytes(): number {
        return this.used;
    }

    /** Opens the account of one request. */
    hold(): HeldMemory {
        let held = 0;
        return {
            take: bytes => {
                if (this.used + bytes > this.maxBytes) {
                    return false;
                }
                this.used += bytes;
                held += bytes;
                return true;
            },
            release: () => {
                this.used -= held;
                held = 0;
            },
        };
    }
}

const defaultMaxBytes = 67_108_864; // 64 MiB
