import { createTestConfiguration } from "./ServingTestbed";

interface StoredRoute {
    readonly prefix: string;
    readonly service?: string;
}

/**
 * Creates version 2 of the operator's configuration: it has one more route, `/added/`, and `/read/` has moved from the
 * service `app` to the service `next`, which serves both.
 *
 * @returns the configuration as stored
 */
export const createChangedConfiguration = (): Record<string, unknown> => {
    const { routes, services, ...rest } = createTestConfiguration(2) as {
        routes: StoredRoute[];
        services: { name: string; }[];
    };
    const moved = routes.map(route => route.prefix === "/read/" ? { ...route, service: "next" } : route);
    const read = moved.find(({ prefix }) => prefix === "/read/")!;
    return {
        ...rest,
        routes: [...moved, { ...read, name: "r-added", prefix: "/added/" }],
        services: [...services, { name: "next", maxConnections: 50 }],
    };
};
