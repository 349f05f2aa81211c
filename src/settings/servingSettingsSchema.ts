import { z } from "zod";

const addressSchema = z.string().regex(/^[\d.]+:\d+$/, "expected an IP address and a port");
const positiveMs = z.number().positive();

/** Schema of the settings of a node that forwards requests under a configuration kept by the platform. */
export const servingSettingsSchema = z.object({
    nodeId: z.string().min(1).max(63),
    dataCentre: z.string().min(1),
    /** Address on which callers' requests arrive. */
    callers: addressSchema,
    /** Address on which other nodes connect. */
    peers: addressSchema,
    /** Address on which metrics are read. */
    metrics: addressSchema,
    /** Address of the platform's store. */
    store: addressSchema,
    /** Address of the cloud's API; absent where the node has no duties. */
    cloud: addressSchema.optional(),
    logLevel: z.enum(["debug", "info", "warn", "error", "silent"]).default("info"),
    /** Time within which a key that was taken away must no longer be accepted. */
    keyRevocationMs: positiveMs.default(5_000),
    /** Time between a planned stop's signal and the end of the process by force. */
    stopGraceMs: positiveMs.default(8_000),
    /** Time after which an upstream that is leaving must get no request. */
    upstreamDrainMs: positiveMs.default(2_000),
    /** How long callers keep the addresses that they were told. */
    entriesValidMs: positiveMs.default(2_000),
    /** Repeats of requests to one service that all nodes together may send. */
    retries: z.object({
        ratio: z.number().min(0).default(0.2),
        windowMs: positiveMs.default(10_000),
        extra: z.number().min(0).default(20),
    }).strict().default({}),
    /** Window over which an account's rate and burst are counted. */
    quotaWindowMs: positiveMs.default(8_000),
    /** Time for which a duty's holder counts after it was last heard. */
    leaseMs: positiveMs.default(3_000),
    usage: z.object({
        windowMs: positiveMs.default(5_000),
        /** Time after a window's end within which its report is due. */
        dueMs: positiveMs.default(10_000),
    }).strict().default({}),
}).strict();

/** Checked settings of a forwarding node. */
export type ServingSettings = z.output<typeof servingSettingsSchema>;
