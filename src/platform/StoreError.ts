/** Effect of a failed call on the service: certainly none, or unknown. */
export type StoreEffect = "none" | "unknown";

/** A call to one of the platform's services that failed or whose answer was lost. */
export class StoreError extends Error {
    constructor(message: string, readonly effect: StoreEffect) {
        super(message);
        this.name = "StoreError";
    }
}
