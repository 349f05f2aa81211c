import { createServiceName } from "../kernel/createServiceName";
import { RetryWindow, type RetryWindowOptions } from "./RetryWindow";

/** The retry windows of all services. */
export class RetryBudgets {
    private readonly windows = new Map<string, RetryWindow>();

    constructor(private readonly options: RetryWindowOptions) {}

    /** Finds a service's window and creates it on first use. */
    get(service: string): RetryWindow {
        let window = this.windows.get(service);
        if (!window) {
            window = new RetryWindow(this.options);
            this.windows.set(service, window);
        }
        return window;
    }
}

/** Name of the retry budgets service. */
export const retryBudgetsName = createServiceName<RetryBudgets>("retry-budgets");
