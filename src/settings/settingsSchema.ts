import { z } from "zod";

const portSchema = z.number().int().min(0).max(65_535);
const listenSchema = z.object({ host: z.string().ip(), port: portSchema }).strict();
const urlSchema = z.string().url();
const positiveMs = z.number().int().positive();

/** Schema of a node's settings file. Every object is strict. */
export const settingsSchema = z.object({
    /** The node's name; unique among the members. */
    nodeId: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "expected lower-case letters, digits and dashes"),
    region: z.string().min(1),
    dataCentre: z.string().min(1),
    /** Address on which callers and operators connect. */
    callers: listenSchema,
    /** Address on which other members connect. */
    peers: listenSchema,
    /** Secret shared by all members, used to authenticate peers. */
    clusterKey: z.string().min(16, "expected at least 16 characters"),
    /** SHA-256 hashes of the operators' tokens. */
    operatorTokenHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/, "expected 64 hexadecimal digits")).min(1),
    platform: z.object({
        tables: urlSchema,
        objects: urlSchema,
        cloud: urlSchema,
        /** URL of the weight store; used only by the fleet manager. */
        weights: urlSchema.optional(),
    }).strict(),
    fleet: z.object({
        /** Whether this node may hold the fleet lease, whose holder sizes the fleet. */
        enabled: z.boolean().default(false),
        /** Minimum number of runners of a model service. */
        minRunners: z.number().int().positive().default(2),
    }).strict().default({}),
    logLevel: z.enum(["debug", "info", "warn", "error", "silent"]).default("info"),
    limits: z.object({
        maxBodyBytes: z.number().int().positive().default(1_048_576),
        maxHeaderBytes: z.number().int().positive().default(16_384),
        maxPeerFrameBytes: z.number().int().positive().default(4_194_304),
        /** Bytes of requests that callers may make the node hold until they are answered. */
        maxHeldBytes: z.number().int().positive().default(67_108_864),
        /** Connections of callers and operators. */
        maxConnections: z.number().int().positive().default(4_000),
        /** Maximum memory for running and finished streams. */
        maxStreamBytes: z.number().int().positive().default(134_217_728),
        maxQueuedRequests: z.number().int().positive().default(2_000),
        maxQueuedBytes: z.number().int().positive().default(33_554_432),
    }).strict().default({}),
    timing: z.object({
        heartbeatMs: positiveMs.default(500),
        /** A peer link without received data for this long is replaced. */
        silenceMs: positiveMs.default(2_000),
        /** A running stream without received data for this long is resumed on another runner. */
        streamSilenceMs: positiveMs.default(4_000),
        /** A node without contact to the store and to any member for this long refuses new work. */
        isolationMs: positiveMs.default(3_000),
        configurationPollMs: positiveMs.default(1_000),
        vmListPollMs: positiveMs.default(500),
        loadPollMs: positiveMs.default(250),
        storeTimeoutMs: positiveMs.default(2_000),
        /** Time for which callers cache an answer of `GET /v1/entries`. */
        entriesValidMs: positiveMs.default(10_000),
        /** Time for which the answer of a finished request can be resumed. */
        resumeWindowMs: positiveMs.default(60_000),
        /** Retention time of the answers to non-idempotent calls and kept requests. */
        answerRetentionMs: positiveMs.default(604_800_000),
        /** Maximum duration of a graceful shutdown; after it the process ends regardless. */
        drainMs: positiveMs.default(600_000),
    }).strict().default({}),
}).strict();

/** Validated settings of a node. */
export type Settings = z.output<typeof settingsSchema>;
