import { SeededRandom } from "../../src/kernel/SeededRandom";
import { createTestConfiguration } from "./ServingTestbed";

const nameBytes = 4;

/**
 * Creates the operator's configuration with many routes more, to the service `app`, whose names and prefixes are random.
 *
 * @param version - version number of the configuration
 * @param addedRoutes - number of routes that are added
 * @returns the configuration as stored
 */
export const createLargeConfiguration = (version: number, addedRoutes: number): Record<string, unknown> => {
    const random = new SeededRandom(version);
    const { routes, ...rest } = createTestConfiguration(version);
    const added = Array.from({ length: addedRoutes }, () => ({
        name: `r-${random.drawId(nameBytes)}`,
        host: "host.example",
        prefix: `/${random.drawId(nameBytes)}/`,
        kind: "safe",
        service: "app",
        timeoutMs: 5_000,
        targetLatencyMs: 200,
        priority: 2,
        maxAttempts: 2,
        authExempt: false,
        stickySessions: false,
        streamResume: false,
    }));
    return { ...rest, routes: [...routes as unknown[], ...added] };
};
