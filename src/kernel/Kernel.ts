import type { FindService, ServiceDefinition, ServiceLifecycle, ServiceName } from "./types";

type AnyDefinition = ServiceDefinition<object>;

/** Micro-kernel: creates and starts services in dependency order and stops them in reverse order. */
export class Kernel {
    private readonly definitions = new Map<string, AnyDefinition>();
    private readonly instances = new Map<string, ServiceLifecycle>();
    private readonly started: ServiceLifecycle[] = [];

    /**
     * Registers a service. To be called before {@link start}.
     *
     * @param definition - name, dependencies and factory
     * @throws Error when the name is already registered
     */
    register<T extends object>(definition: ServiceDefinition<T>): void {
        if (this.definitions.has(definition.name.id)) {
            throw new Error(`service "${definition.name.id}" is already registered`);
        }
        this.definitions.set(definition.name.id, definition as unknown as AnyDefinition);
    }

    /**
     * Finds a service by name.
     *
     * @param name - the typed name
     * @returns the service
     * @throws Error when it has not been created yet
     */
    readonly find: FindService = <T>(name: ServiceName<T>): T => {
        const instance = this.instances.get(name.id);
        if (!instance) {
            throw new Error(`service "${name.id}" is not started`);
        }
        return instance as unknown as T;
    };

    /** Whether a service has been created. For a service that uses another one that is started after it. */
    isStarted(name: ServiceName<object>): boolean {
        return this.instances.has(name.id);
    }

    /**
     * Creates and starts every service, dependencies first. If one fails to start, the others are stopped again.
     *
     * @throws Error when a dependency is missing or circular, or a service fails to start
     */
    async start(): Promise<void> {
        for (const definition of this.sortByDependency()) {
            try {
                const instance = definition.create(this.find) as ServiceLifecycle;
                this.instances.set(definition.name.id, instance);
                this.started.push(instance);
                await instance.start?.();
            }
            catch (error) {
                await this.stop();
                throw error;
            }
        }
    }

    /** Stops the started services in reverse order. */
    async stop(): Promise<void> {
        while (this.started.length > 0) {
            await this.started.pop()!.stop?.();
        }
    }

    private sortByDependency(): AnyDefinition[] {
        const sorted: AnyDefinition[] = [];
        const state = new Map<string, "visiting" | "done">();
        const visit = (id: string, path: readonly string[]): void => {
            if (state.get(id) === "done") {
                return;
            }
            if (state.get(id) === "visiting") {
                throw new Error(`circular dependency between services: ${[...path, id].join(" -> ")}`);
            }
            const definition = this.definitions.get(id);
            if (!definition) {
                throw new Error(`service "${id}" is required by "${path.at(-1)}" but is not registered`);
            }
            state.set(id, "visiting");
            definition.requires.forEach(required => visit(required.id, [...path, id]));
            state.set(id, "done");
            sorted.push(definition);
        };
        [...this.definitions.keys()].forEach(id => visit(id, []));
        return sorted;
    }
}
