import type { EngineStandInOptions } from "./EngineStandIn";
import { LocalCluster, type LocalClusterOptions } from "./LocalCluster";

const dataCentres: readonly string[] = ["dc-a", "dc-b", "dc-c", "dc-d"];

/** Options of {@link createTestCluster}. */
export interface TestClusterOptions extends Partial<LocalClusterOptions> {
    /** Number of nodes, spread over data centres; default 1. */
    readonly nodeCount?: number;
    /** Number of model runners; default 2. */
    readonly engineCount?: number;
    /** Options of the engines. */
    readonly engine?: EngineStandInOptions;
    /** Number of plain runners; default 2. */
    readonly plainCount?: number;
}

/** API keys for tests; the client accounts `large` and `small` exist, `other` belongs to none. */
export const testKeys = { large: "key-of-large", small: "key-of-small", other: "key-of-other" } as const;

/**
 * Creates a local cluster with short intervals and time-outs. It has the services `llm` and `roster` and the classes
 * `drafting`, `batch` (kept from acceptance) and `bookings`.
 *
 * @param options - override the defaults
 * @returns the cluster, not yet started
 */
export const createTestCluster = (options: TestClusterOptions = {}): LocalCluster => {
    const spreadOverDataCentres = (count: number): string[] =>
        Array.from({ length: count }, (_, index) => dataCentres[index % dataCentres.length]);
    return new LocalCluster({
        nodes: spreadOverDataCentres(options.nodeCount ?? 1).map((dataCentre, index) => ({
            nodeId: `entry-${index}`,
            dataCentre,
        })),
        accounts: [
            { id: "large", key: testKeys.large },
            { id: "small", key: testKeys.small },
        ],
        classes: [
            createClass("drafting", "survives-reclaim", "interactive", 20_000),
            createClass("batch", "kept-from-acceptance", "batch", 60_000),
            createClass("bookings", "none", "interactive", 5_000),
        ],
        services: [
            {
                name: "llm",
                kind: "model",
                checksFencing: true,
                defaultClass: "drafting",
                models: ["llm-alias"],
            },
            {
                name: "roster",
                kind: "plain",
                defaultClass: "bookings",
                calls: [{ method: "POST", path: "/bookings", idempotent: false }],
            },
        ],
        ...options,
        standIns: {
            modelRunners: spreadOverDataCentres(options.engineCount ?? 2).map(dataCentre => ({
                service: "llm",
                dataCentre,
            })),
            plainRunners: spreadOverDataCentres(options.plainCount ?? 2).map(dataCentre => ({
                service: "roster",
                dataCentre,
            })),
            engine: { stepMs: 2, reportLagMs: 20, ...options.engine },
            listLagMs: 100,
            ...options.standIns,
        },
        timing: {
            heartbeatMs: 100,
            silenceMs: 500,
            streamSilenceMs: 800,
            isolationMs: 1_000,
            configurationPollMs: 200,
            vmListPollMs: 50,
            loadPollMs: 50,
            storeTimeoutMs: 400,
            ...options.timing,
        },
    });
};

const createClass = (name: string, durability: string, urgency: string, wholeMs: number): unknown => ({
    name,
    durability,
    urgency,
    latency: { firstTokenMs: 2_000, betweenTokensMs: 100, wholeMs },
});
