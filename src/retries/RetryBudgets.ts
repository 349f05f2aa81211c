import { createServiceName } from "../kernel/createServiceName";
import { SlidingWindowRetryBudget, type SlidingWindowRetryBudgetOptions } from "./SlidingWindowRetryBudget";

/** The retry windows of all services. */
export class RetryBudgets {
    private readonly windows = new Map<string, SlidingWindowRetryBudget>();

    constructor(private readonly options: SlidingWindowRetryBudgetOptions) {}

    /** Finds a service's window and creates it on first use. */
    get(service: string): SlidingWindowRetryBudget {
        let window = this.windows.get(service);
        if (!window) {
            window = new SlidingWindowRetryBudget(this.options);
            this.windows.set(service, window);
        }
        return window;
    }
}

/** Name of the retry budgets service. */
export const retryBudgetsName = createServiceName<RetryBudgets>("retry-budgets");
