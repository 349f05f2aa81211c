import { createServiceName } from "../kernel/createServiceName";
import type { Clock, RandomSource } from "../kernel/types";
import { RetryBudget } from "../retries/RetryBudget";
import { Dispatcher } from "../routing/Dispatcher";
import { TargetRoutingPolicy } from "../routing/TargetRoutingPolicy";
import type { RoutingPolicy } from "../routing/types";
import type { UpstreamRegistry } from "../upstreams/UpstreamRegistry";

/** Options of {@link ServiceDispatchers}. */
export interface ServiceDispatchersOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly registry: UpstreamRegistry;
    readonly maxQueuedRequests: number;
    readonly maxQueuedBytes: number;
    /** Makes a service's routing policy; default {@link TargetRoutingPolicy}. */
    readonly createPolicy?: () => RoutingPolicy;
}

/** One dispatcher and one retry budget for each service. */
export class ServiceDispatchers {
    private readonly dispatchers = new Map<string, Dispatcher>();
    private readonly budgets = new Map<string, RetryBudget>();

    constructor(private readonly options: ServiceDispatchersOptions) {
        options.registry.changed.changes.observe(() => this.dispatchWaiting()).catch(() => {});
    }

    /** The dispatcher of a service. */
    getDispatcher(service: string): Dispatcher {
        let dispatcher = this.dispatchers.get(service);
        if (!dispatcher) {
            dispatcher = this.create(service);
            this.dispatchers.set(service, dispatcher);
        }
        return dispatcher;
    }

    /** The retry budget of a service. */
    getRetryBudget(service: string): RetryBudget {
        let budget = this.budgets.get(service);
        if (!budget) {
            budget = new RetryBudget();
            this.budgets.set(service, budget);
        }
        return budget;
    }

    /** Number of requests that wait for a runner, by service. */
    readQueueSizes(): ReadonlyMap<string, number> {
        return new Map([...this.dispatchers].map(([service, dispatcher]) => [service, dispatcher.size]));
    }

    /** Lets every dispatcher look again whether waiting requests can go. */
    dispatchWaiting(): void {
        for (const dispatcher of this.dispatchers.values()) {
            dispatcher.pump();
        }
    }

    private create(service: string): Dispatcher {
        const { clock, random, registry } = this.options;
        return new Dispatcher({
            service,
            clock,
            policy: this.options.createPolicy?.() ?? new TargetRoutingPolicy({ random }),
            maxQueuedRequests: this.options.maxQueuedRequests,
            maxQueuedBytes: this.options.maxQueuedBytes,
            createViews: blocks => registry.createViews(service, blocks),
            onChosen: runnerId => registry.find(runnerId)?.recordSent(),
        });
    }
}

/** Name of the dispatchers service. */
export const serviceDispatchersName = createServiceName<ServiceDispatchers>("service-dispatchers");
