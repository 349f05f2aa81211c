/** A call to a member that failed: the link was lost, timed out, or the member refused. */
export class PeerError extends Error {
    constructor(message: string, readonly kind: "unreachable" | "timeout" | "refused") {
        super(message);
        this.name = "PeerError";
    }
}
