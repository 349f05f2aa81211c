import type { FindService, ServiceDefinition, ServiceLifecycle, ServiceName } from "./types";

type AnyDefinition = ServiceDefinition<object>;

/** Makes and starts services in order of their requirements and stops them in reverse. */
export class Kernel {
    private readonly definitions = new Map<string, AnyDefinition>();
    private readonly instances = new Map<string, ServiceLifecycle>();
    private readonly started: ServiceLifecycle[] = [];

    /**
     * Adds a service before the kernel starts.
     *
     * @param definition - how to make it
     * @throws Error when its name is taken
     */
    register<T extends object>(definition: ServiceDefinition<T>): void {
        if (this.definitions.has(definition.name.id)) {
            throw new Error(`service "${definition.name.id}" is already registered`);
        }
        this.definitions.set(definition.name.id, definition as unknown as AnyDefinition);
    }

    /**
     * Finds a started service by name.
     *
     * @param name - the typed name
     * @returns the service
     * @throws Error when no such service was started
     */
    readonly find: FindService = <T>(name: ServiceName<T>): T => {
        const instance = this.instances.get(name.id);
        if (!instance) {
            throw new Error(`service "${name.id}" is not started`);
        }
        return instance as unknown as T;
    };

    /** Whether a service was started, for one that is made before what it reads from. */
    isStarted(name: ServiceName<object>): boolean {
        return this.instances.has(name.id);
    }

    /**
     * Makes and starts every service, requirements first. When one fails, those already started are stopped.
     *
     * @throws Error when a requirement is missing or circular, or a service fails to start
     */
    async start(): Promise<void> {
        for (const definition of this.sortByRequirement()) {
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

    private sortByRequirement(): AnyDefinition[] {
        const sorted: AnyDefinition[] = [];
        const state = new Map<string, "visiting" | "done">();
        const visit = (id: string, path: readonly string[]): void => {
            if (state.get(id) === "done") {
                return;
            }
            if (state.get(id) === "visiting") {
                throw new Error(`services require each other in a circle: ${[...path, id].join(" -> ")}`);
            }
            const definition = this.definitions.get(id);
            if (!definition) {
                throw new Error(`service "${id}" is required by "${path.at(-1)}" and is not registered`);
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
