import { createServiceName } from "./createServiceName";
import { Kernel } from "./Kernel";
import type { ServiceDefinition, ServiceName } from "./types";

interface TestService {
    readonly id: string;
}

const names = {
    store: createServiceName<TestService>("store"),
    cache: createServiceName<TestService>("cache"),
    server: createServiceName<TestService>("server"),
};

const createDefinition = (
    name: ServiceName<TestService>,
    requires: readonly ServiceName<TestService>[],
    log: string[],
    isFailing = false,
): ServiceDefinition<TestService> => ({
    name,
    requires,
    create: find => {
        requires.forEach(required => log.push(`${name.id} finds ${find(required).id}`));
        return {
            id: name.id,
            start: async () => {
                log.push(`start ${name.id}`);
                if (isFailing) {
                    throw new Error(`${name.id} fails`);
                }
            },
            stop: async () => {
                log.push(`stop ${name.id}`);
            },
        };
    },
});

describe("Kernel", () => {
    it("starts dependencies first and stops in reverse order", async () => {
        const log: string[] = [];
        const kernel = new Kernel();
        kernel.register(createDefinition(names.server, [names.cache], log));
        kernel.register(createDefinition(names.cache, [names.store], log));
        kernel.register(createDefinition(names.store, [], log));
        await kernel.start();
        await kernel.stop();
        expect(log).toEqual([
            "start store",
            "cache finds store",
            "start cache",
            "server finds cache",
            "start server",
            "stop server",
            "stop cache",
            "stop store",
        ]);
    });

    it("reports which services are started", async () => {
        const kernel = new Kernel();
        kernel.register(createDefinition(names.store, [], []));
        expect(kernel.isStarted(names.store)).toBe(false);
        expect(() => kernel.find(names.store)).toThrow("service \"store\" is not started");
        await kernel.start();
        expect(kernel.isStarted(names.store)).toBe(true);
    });

    it("stops the started services when one fails to start", async () => {
        const log: string[] = [];
        const kernel = new Kernel();
        kernel.register(createDefinition(names.store, [], log));
        kernel.register(createDefinition(names.server, [names.store], log, true));
        await expect(kernel.start()).rejects.toThrow("server fails");
        expect(log.slice(-2)).toEqual(["stop server", "stop store"]);
    });

    it("names the services of a circular and of a missing dependency", async () => {
        const circular = new Kernel();
        circular.register(createDefinition(names.store, [names.cache], []));
        circular.register(createDefinition(names.cache, [names.store], []));
        await expect(circular.start()).rejects.toThrow("store -> cache -> store");
        const missing = new Kernel();
        missing.register(createDefinition(names.cache, [names.store], []));
        await expect(missing.start()).rejects.toThrow("service \"store\" is required by \"cache\"");
    });
});
