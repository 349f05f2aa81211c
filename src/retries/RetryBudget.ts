/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
    /** Retries earned by each request; default 0.2. */
    readonly ratio?: number;
    /** Most retries that can be saved up, and the number at the start; default 20. */
    readonly capacity?: number;
}

const defaultRatio = 0.2;
const defaultCapacity = 20;

/** Limits retries to a share of requests, so that retries cannot multiply an overload. */
export class RetryBudget {
    private readonly ratio: number;
    private readonly capacity: number;
    private saved: number;

    constructor(options: RetryBudgetOptions = {}) {
        this.ratio = options.ratio ?? defaultRatio;
        this.capacity = options.capacity ?? defaultCapacity;
        this.saved = this.capacity;
    }

    /** Notes a first attempt. */
    countRequest(): void {
        this.saved = Math.min(this.capacity, this.saved + this.ratio);
    }

    /**
     * Takes one retry out of the budget.
     *
     * @returns false when none is left
     */
    takeRetry(): boolean {
        if (this.saved < 1) {
            return false;
        }
        this.saved -= 1;
        return true;
    }
}
