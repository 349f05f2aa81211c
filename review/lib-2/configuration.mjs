/** The operator's configuration of the cases: the services and routes of a small deployment. */

const host = "host.example";

/**
 * Creates a configuration with a model service `llm` and an application `app`.
 *
 * @param version - its version
 */
export const createConfiguration = (version = 1) => ({
    version,
    routes: [
        {
            name: "diagnosis",
            host,
            prefix: "/diagnosis/",
            kind: "streaming",
            service: "llm",
            timeoutMs: 15_000,
            targetLatencyMs: 600,
            gapAimMs: 400,
            maxAttempts: 2,
            streamResume: true,
            stickySessions: true,
            priority: 1,
        },
        {
            name: "summary",
            host,
            prefix: "/summary/",
            kind: "streaming",
            service: "llm",
            timeoutMs: 12_000,
            targetLatencyMs: 400,
            gapAimMs: 400,
            maxAttempts: 1,
            priority: 0,
        },
        {
            name: "release",
            host,
            prefix: "/release/",
            kind: "unsafe",
            service: "app",
            timeoutMs: 5_000,
            targetLatencyMs: 100,
            maxAttempts: 1,
            priority: 2,
        },
    ],
    services: [
        { name: "llm", maxConnections: 500, engine: { slots: 96, kvCapacityTokens: 1_102_398 } },
        { name: "app", maxConnections: 110 },
    ],
    limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 4_194_304,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
    },
    tenants: [{ name: "alpha", apiKeys: ["key-alpha"] }],
});
