/** What is known about a failed call's effect. */
export type StoreEffect = "none" | "unknown";

/** A platform call that failed or whose answer was lost. */
export class StoreError extends Error {
    constructor(message: string, readonly effect: StoreEffect) {
        super(message);
        this.name = "StoreError";
    }
}
