import { createServiceName } from "../kernel/createServiceName";
import { SlidingWindowRetryBudget, type SlidingWindowRetryBudgetOptions } from "./SlidingWindowRetryBudget";

/** The sliding-window retry budgets of all services. */
export class RetryBudgets {
    private readonly budgets = new Map<string, SlidingWindowRetryBudget>();

    constructor(private readonly options: SlidingWindowRetryBudgetOptions) {}

    /** Returns the budget of a service; creates it on first use. */
    get(service: string): SlidingWindowRetryBudget {
        let budget = this.budgets.get(service);
        if (!budget) {
            budget = new SlidingWindowRetryBudget(this.options);
            this.budgets.set(service, budget);
        }
        return budget;
    }
}

/** Name of the retry budgets service. */
export const retryBudgetsName = createServiceName<RetryBudgets>("retry-budgets");
