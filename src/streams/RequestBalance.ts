import type { Invariants } from "../telemetry/Invariants";
import type { RequestState } from "./RequestRecord";

/** Numbers of requests of one node, by origin and by outcome. */
export interface BalanceCounts {
    readonly accepted: number;
    /** Taken over from other nodes or from the store. */
    readonly received: number;
    readonly answered: number;
    readonly refused: number;
    readonly cancelled: number;
    readonly handedOver: number;
    readonly inProgress: number;
}

/** Counts the requests of one node, to check that each one that came in has ended or is in progress. */
export class RequestBalance {
    private accepted = 0;
    private received = 0;
    private answered = 0;
    private refused = 0;
    private cancelled = 0;
    private handedOver = 0;

    constructor(private readonly invariants: Invariants) {}

    recordAccepted(): void {
        this.accepted += 1;
    }

    recordReceived(): void {
        this.received += 1;
    }

    recordEnd(state: RequestState): void {
        switch (state) {
            case "answered":
                this.answered += 1;
                break;
            case "failed":
                this.refused += 1;
                break;
            case "cancelled":
                this.cancelled += 1;
                break;
            case "handed-over":
                this.handedOver += 1;
                break;
        }
    }

    /**
     * Returns the counts after asserting that they balance.
     *
     * @param inProgress - number of requests that have not ended, counted independently
     * @throws FailureError when they do not balance
     */
    check(inProgress: number): BalanceCounts {
        const { accepted, received, answered, refused, cancelled, handedOver } = this;
        this.invariants.assert(
            "requests-balance",
            accepted + received === answered + refused + cancelled + handedOver + inProgress,
            () =>
                JSON.stringify({ accepted, received, answered, refused, cancelled, handedOver, inProgress }),
        );
        return { accepted, received, answered, refused, cancelled, handedOver, inProgress };
    }
}
