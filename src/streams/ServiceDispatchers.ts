import { createServiceName } from "../kernel/createServiceName";
import type { Clock, RandomSource } from "../kernel/types";
import { RetryBudget } from "../retries/RetryBudget";
import { Dispatcher } from "../routing/Dispatcher";
import { LatencyTargetPolicy } from "../routing/LatencyTargetPolicy";
import type { RoutingPolicy } from "../routing/types";
import type { UpstreamRegistry } from "../upstreams/UpstreamRegistry";

/** Options of {@link ServiceDispatchers}. */
export interface ServiceDispatchersOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly registry: UpstreamRegistry;
    readonly maxQueuedRequests: number;
    readonly maxQueuedBytes: number;
    /** Creates the routing policy of a service; default {@link LatencyTargetPolicy}. */
    readonly createPolicy?: () => RoutingPolicy;
}

/** Holds one dispatcher and one retry budget for each service. */
export class ServiceDispatchers {
    private readonly dispatchers = new Map<string, Dispatcher>();
    private readonly retryBudgets = new Map<string, RetryBudget>();

    constructor(private readonly options: ServiceDispatchersOptions) {
        options.registry.changed.changes.observe(() => this.dispatchWaiting()).catch(() => {});
    }

    /** Returns the dispatcher of a service, created on first use. */
    getDispatcher(service: string): Dispatcher {
        let dispatcher = this.dispatchers.get(service);
        if (!dispatcher) {
            dispatcher = this.createDispatcher(service);
            this.dispatchers.set(service, dispatcher);
        }
        return dispatcher;
    }

    /** Returns the retry budget of a service, created on first use. */
    getRetryBudget(service: string): RetryBudget {
        let budget = this.retryBudgets.get(service);
        if (!budget) {
            budget = new RetryBudget();
            this.retryBudgets.set(service, budget);
        }
        return budget;
    }

    /** Number of requests that wait for a runner, by service. */
    readQueueSizes(): ReadonlyMap<string, number> {
        return new Map([...this.dispatchers].map(([service, dispatcher]) => [service, dispatcher.size]));
    }

    /** Makes every dispatcher check again whether its waiting requests can be sent. */
    dispatchWaiting(): void {
        for (const dispatcher of this.dispatchers.values()) {
            dispatcher.dispatchQueued();
        }
    }

    private createDispatcher(service: string): Dispatcher {
        const { clock, random, registry } = this.options;
        return new Dispatcher({
            service,
            clock,
            policy: this.options.createPolicy?.() ?? new LatencyTargetPolicy({ random }),
            maxQueuedRequests: this.options.maxQueuedRequests,
            maxQueuedBytes: this.options.maxQueuedBytes,
            createViews: blocks => registry.createViews(service, blocks),
            onRunnerChosen: runnerId => registry.find(runnerId)?.recordSent(),
        });
    }
}

/** Name of the dispatchers service. */
export const serviceDispatchersName = createServiceName<ServiceDispatchers>("service-dispatchers");
