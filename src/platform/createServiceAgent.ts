import { Agent } from "undici";
import { createTimedConnector } from "../upstreams/createTimedConnector";

/** Options of {@link createServiceAgent}. */
export interface CreateServiceAgentOptions {
    /** Connections open at once. */
    readonly maxConnections: number;
    /** Longest wait for a connection, in milliseconds. */
    readonly connectTimeoutMs: number;
}

/**
 * Creates the connections to one of the platform's services. An attempt to connect that began while the service could
 * not be reached is given up in time, as the system repeats its first packet at growing pauses only.
 *
 * @param options - number and time
 * @returns the connections
 */
export const createServiceAgent = (options: CreateServiceAgentOptions): Agent =>
    new Agent({
        connections: options.maxConnections,
        connect: createTimedConnector(options.connectTimeoutMs),
    });
