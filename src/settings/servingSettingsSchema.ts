import { z } from "zod";

const addressSchema = z.string().regex(/^[\d.]+:\d+$/, "expected an IP address and a port");
const positiveMs = z.number().positive();

/** Schema of the settings of a forwarding node, whose configuration is stored by the platform. */
export const servingSettingsSchema = z.object({
    nodeId: z.string().min(1).max(63),
    dataCentre: z.string().min(1),
    /** Address on which the node accepts requests of callers. */
    callers: addressSchema,
    /** Address on which the node accepts connections of other nodes. */
    peers: addressSchema,
    /** Address on which metrics are served. */
    metrics: addressSchema,
    /** Address of the platform's store. */
    store: addressSchema,
    /** Address of the cloud's API; absent if the node performs no duties. */
    cloud: addressSchema.optional(),
    logLevel: z.enum(["debug", "info", "warn", "error", "silent"]).default("info"),
    /** Time after which a revoked key must no longer be accepted. */
    keyRevocationMs: positiveMs.default(5_000),
    /** Time after its acknowledgement within which a configuration must be in force. */
    configurationMs: positiveMs.default(2_000),
    /** Time between the signal for a graceful shutdown and the forced end of the process. */
    stopGraceMs: positiveMs.default(8_000),
    /** Time after which a leaving upstream must receive no more requests. */
    upstreamDrainMs: positiveMs.default(2_000),
    /** Time for which callers cache the node addresses that they received. */
    entriesValidMs: positiveMs.default(2_000),
    /** Retry budget of one service, shared by all nodes. */
    retries: z.object({
        ratio: z.number().min(0).default(0.2),
        windowMs: positiveMs.default(10_000),
        extra: z.number().min(0).default(20),
    }).strict().default({}),
    /** Window over which an account's rate and burst are counted. */
    quotaWindowMs: positiveMs.default(8_000),
    /** Bounds on what callers make the process hold. */
    limits: z.object({
        /** Bytes of requests that are read, or wait to be answered. */
        maxHeldBytes: z.number().int().positive().default(67_108_864),
        /** Bytes of answers that are collected before they are sent. */
        maxAnswerBytes: z.number().int().positive().default(67_108_864),
        /** Connections of callers. */
        maxCallerConnections: z.number().int().positive().default(4_000),
        /** Connections that ask for metrics, for the readiness or for entries, for each of these. */
        maxCheckConnections: z.number().int().positive().default(400),
    }).strict().default({}),
    /** What the load of an upstream is measured by: its requests, or the work that they are estimated to cost. */
    placement: z.enum(["requests", "work"]).default("requests"),
    /** Bounds on software versions that a roll-out has not proved yet. */
    rollouts: z.object({
        /** Share of a service's requests that such a version may get. */
        exposureShare: z.number().min(0).max(1).default(0.1),
        /** Requests that it may get in addition. */
        exposureSlack: z.number().min(0).default(50),
    }).strict().default({}),
    /** Time after its last renewal for which the holder of a duty is considered to hold it. */
    leaseMs: positiveMs.default(3_000),
    usage: z.object({
        windowMs: positiveMs.default(5_000),
        /** Time after the end of a window within which its report is due. */
        dueMs: positiveMs.default(10_000),
    }).strict().default({}),
}).strict();

/** Validated settings of a forwarding node. */
export type ServingSettings = z.output<typeof servingSettingsSchema>;
