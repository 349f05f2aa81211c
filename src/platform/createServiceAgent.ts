import { Agent } from "undici";
import { createResetMarkingConnector } from "../upstreams/createResetMarkingConnector";
import { createResettingConnector } from "../upstreams/createResettingConnector";
import { createTimedConnector } from "../upstreams/createTimedConnector";

/** Options of {@link createServiceAgent}. */
export interface CreateServiceAgentOptions {
    /** Maximum number of open connections. */
    readonly maxConnections: number;
    /** Time-out for establishing a connection, in milliseconds. */
    readonly connectTimeoutMs: number;
}

const maxAnswerBytes = 67_108_864; // 64 MiB, far above every answer of these services

/**
 * Creates the connection pool for one of the platform's services. Connecting has a time-out of its own: the operating
 * system repeats the first packet only at growing intervals, so an attempt that began while the service was unreachable
 * would succeed late. A reset is never the end of an answer.
 *
 * @param options - number of connections and connect time-out
 * @returns the connection pool
 */
export const createServiceAgent = (options: CreateServiceAgentOptions): Agent =>
    new Agent({
        connections: options.maxConnections,
        maxResponseSize: maxAnswerBytes,
        connect: createResettingConnector(
            createResetMarkingConnector(createTimedConnector(options.connectTimeoutMs)),
        ),
    });
