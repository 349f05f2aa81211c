import type { PlannedStop } from "../stopping/PlannedStop";
import { createLeavingFailure } from "../stopping/createLeavingFailure";

/** Refuses a request that has not been passed on as soon as the stop of the node leaves it too little time. */
export class StopRefusal {
    /** Rejects with the failure when the request is refused; never settles otherwise. */
    readonly refused: Promise<never>;
    private refuse: () => void = () => {};
    private readonly onStep = (): void => {
        if (!this.isAllowed()) {
            this.refuse();
        }
    };

    /**
     * @param plannedStop - the stop of the node
     * @param deadlineMs - monotonic time of the request's deadline, in milliseconds
     */
    constructor(
        private readonly plannedStop: Pick<PlannedStop, "isDispatchAllowed" | "onStep" | "removeListener">,
        private readonly deadlineMs: number,
    ) {
        this.refused = new Promise((_resolve, reject) => {
            this.refuse = () => reject(createLeavingFailure());
        });
        plannedStop.onStep(this.onStep);
    }

    /**
     * Checks that the request may still be passed on.
     *
     * @throws FailureError if it may not; it has then not run
     */
    check(): void {
        if (!this.isAllowed()) {
            throw createLeavingFailure();
        }
    }

    /** Removes the listener. To be called when the request is passed on or has ended. */
    close(): void {
        this.plannedStop.removeListener(this.onStep);
    }

    private isAllowed(): boolean {
        return this.plannedStop.isDispatchAllowed({ deadlineMs: this.deadlineMs, hasBegun: false });
    }
}
