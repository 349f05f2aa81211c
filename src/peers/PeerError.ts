/** Error of a call to a member: it could not be reached, did not reply in time, or replied with an error. */
export class PeerError extends Error {
    constructor(message: string, readonly kind: "unreachable" | "timeout" | "refused") {
        super(message);
        this.name = "PeerError";
    }
}
