/** Ids of requests that this node is about to accept, while it asks the members whether one of them holds the request. */
export class RequestClaims {
    private readonly counts = new Map<string, number>();

    /**
     * Claims a request. Several callers may claim the same one.
     *
     * @param requestId - the request
     * @returns a function that releases the claim; to be called once
     */
    add(requestId: string): () => void {
        this.counts.set(requestId, (this.counts.get(requestId) ?? 0) + 1);
        return () => this.release(requestId);
    }

    /** Whether a request is claimed. */
    has(requestId: string): boolean {
        return this.counts.has(requestId);
    }

    private release(requestId: string): void {
        const left = (this.counts.get(requestId) ?? 0) - 1;
        if (left > 0) {
            this.counts.set(requestId, left);
        }
        else {
            this.counts.delete(requestId);
        }
    }
}
