/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
    /** Retries that each request adds to the budget; default 0.2. */
    readonly ratio?: number;
    /** Maximum number of retries in the budget, also the initial number; default 20. */
    readonly capacity?: number;
}

const defaultRatio = 0.2;
const defaultCapacity = 20;

/** Token bucket that limits retries to a share of the requests, so retries cannot amplify an overload. */
export class RetryBudget {
    private readonly ratio: number;
    private readonly capacity: number;
    private available: number;

    constructor(options: RetryBudgetOptions = {}) {
        this.ratio = options.ratio ?? defaultRatio;
        this.capacity = options.capacity ?? defaultCapacity;
        this.available = this.capacity;
    }

    /** Counts a request, which adds its share of a retry to the budget. */
    countRequest(): void {
        this.available = Math.min(this.capacity, this.available + this.ratio);
    }

    /**
     * Takes one retry from the budget.
     *
     * @returns false if none is left
     */
    takeRetry(): boolean {
        if (this.available < 1) {
            return false;
        }
        this.available -= 1;
        return true;
    }
}
