/** Options of {@link ExposureBudget}. */
export interface ExposureBudgetOptions {
    /** Share of the requests that an unproven version may get. */
    readonly share: number;
    /** Part of this node in the requests that it may get in addition. */
    readonly slack: number;
}

const usedShare = 0.9; // of what is allowed; answers that another node or the caller gives up may count elsewhere
const maxSaved = 3; // requests; a route that was quiet must not be followed by a burst

/**
 * Bounds the requests that one node sends to an unproven version by those that other versions have answered to it. Each
 * node keeps the share by its own counts, and so all do together, whatever is lost between them; a node that starts anew
 * begins without requests to its credit but for its part of the slack.
 */
export class ExposureBudget {
    private credit: number;

    constructor(private readonly options: ExposureBudgetOptions) {
        this.credit = options.slack;
    }

    /** Requests that the version may get now. */
    get available(): number {
        return Math.max(0, Math.floor(this.credit));
    }

    /** Counts a request that an upstream of another version has answered. */
    countBaseline(): void {
        const { share, slack } = this.options;
        const perRequest = share * usedShare / (1 - share * usedShare);
        this.credit = Math.min(maxSaved + slack, this.credit + perRequest);
    }

    /**
     * Counts a request that goes to the version. A stream that began there and goes on there is counted even if it was
     * not available.
     */
    take(): void {
        this.credit -= 1;
    }

    /** Takes a request back that was not sent. */
    restore(): void {
        this.credit += 1;
    }
}
