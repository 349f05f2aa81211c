import { dropOldest } from "../_lib/dropOldest";

const maxBodies = 8;
const maxTotalBytes = 4_194_304; // the newest one is kept whatever its size

/** The newest large values that a node has, packed, by their digests. */
export class PackedBodies {
    private readonly bodies = new Map<string, Buffer>();
    private readonly waiting = new Map<
        string,
        { promise: Promise<Buffer>; resolve: (packed: Buffer) => void; }
    >();

    /** Adds a value; drops the oldest ones beyond the limits. */
    add(digest: string, packed: Buffer): void {
        this.bodies.delete(digest);
        this.bodies.set(digest, packed);
        while (this.bodies.size > 1 && (this.bodies.size > maxBodies || this.countBytes() > maxTotalBytes)) {
            this.bodies.delete([...this.bodies.keys()][0]);
        }
        this.waiting.get(digest)?.resolve(packed);
        this.waiting.delete(digest);
    }

    find(digest: string): Buffer | undefined {
        return this.bodies.get(digest);
    }

    /** Resolves once a value is added; never, if it is not. */
    wait(digest: string): Promise<Buffer> {
        const known = this.waiting.get(digest);
        if (known) {
            return known.promise;
        }
        let resolve = (_packed: Buffer): void => {};
        const promise = new Promise<Buffer>(settle => {
            resolve = settle;
        });
        this.waiting.set(digest, { promise, resolve });
        dropOldest(this.waiting, maxBodies);
        return promise;
    }

    private countBytes(): number {
        return [...this.bodies.values()].reduce((sum, packed) => sum + packed.length, 0);
    }
}
