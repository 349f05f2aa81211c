import type { LocalClusterOptions } from "../standins/LocalCluster";

/** The demo's cluster: three nodes, three model runners and two plain runners in three data centres. */
export const demoSetup: LocalClusterOptions = {
    nodes: [
        { nodeId: "entry-a", dataCentre: "guj-west-a" },
        { nodeId: "entry-b", dataCentre: "guj-west-b" },
        { nodeId: "entry-c", dataCentre: "guj-west-c" },
    ],
    standIns: {
        modelRunners: ["guj-west-a", "guj-west-b", "guj-west-c"].map(dataCentre => ({
            service: "bhatti-llm",
            dataCentre,
        })),
        plainRunners: ["guj-west-a", "guj-west-b"].map(dataCentre => ({ service: "roster", dataCentre })),
        engine: { stepMs: 5 },
        listLagMs: 300,
    },
    accounts: [
        { id: "vatva-heat", key: "key-of-vatva-heat" },
        { id: "rajkot-forge", key: "key-of-rajkot-forge" },
    ],
    classes: [
        {
            name: "interactive-drafting",
            latency: { firstTokenMs: 1_100, betweenTokensMs: 40, wholeMs: 30_000 },
            durability: "survives-reclaim",
        },
        {
            name: "batch-summaries",
            latency: { firstTokenMs: 20_000, betweenTokensMs: 200, wholeMs: 120_000 },
            durability: "kept-from-acceptance",
            urgency: "batch",
        },
        {
            name: "bookings",
            latency: { firstTokenMs: 1_000, betweenTokensMs: 1_000, wholeMs: 5_000 },
            durability: "none",
        },
    ],
    services: [
        {
            name: "bhatti-llm",
            kind: "model",
            checksFencing: true,
            defaultClass: "interactive-drafting",
        },
        {
            name: "roster",
            kind: "plain",
            defaultClass: "bookings",
            calls: [{ method: "POST", path: "/bookings", idempotent: false }],
        },
    ],
};
