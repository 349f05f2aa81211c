import { z } from "zod";

const hybridTimeSchema = z.object({ wallMs: z.number(), counter: z.number().int() }).strict();
/** Maximum length of a node's name, in characters. */
export const maxNodeIdLength = 63;
const nodeIdSchema = z.string().min(1).max(maxNodeIdLength);

/** First message of the handshake, sent by both sides. */
export const helloSchema = z.object({
    kind: z.literal("hello"),
    nodeId: nodeIdSchema,
    nonce: z.string().length(32),
}).strict();

/** Second message of the handshake: proof that the sender knows the cluster key. */
export const proofSchema = z.object({ kind: z.literal("proof"), mac: z.string().length(64) }).strict();

const heartbeatSchema = z.object({
    kind: z.literal("heartbeat"),
    time: hybridTimeSchema,
    /** Configuration revision in force at the sender. */
    revision: z.number().int().min(0),
    /** Digest of the sender's gossip map. */
    digest: z.number().int().min(0),
}).strict();

/** One entry of the gossip map. */
export const gossipEntrySchema = z.object({
    key: z.string().min(1).max(200),
    time: hybridTimeSchema,
    /** Node that wrote the entry; breaks ties between equal times. */
    writer: nodeIdSchema,
    value: z.unknown(),
}).strict();

const gossipSchema = z.object({
    kind: z.literal("gossip"),
    entries: z.array(gossipEntrySchema).max(10_000),
}).strict();

const callSchema = z.object({
    kind: z.literal("call"),
    callId: z.number().int(),
    method: z.string().min(1).max(64),
    payload: z.unknown(),
}).strict();

const replySchema = z.object({
    kind: z.literal("reply"),
    callId: z.number().int(),
    ok: z.boolean(),
    payload: z.unknown(),
}).strict();

/** Periodic value for the linked members. A lost report is not sent again, as the next one replaces it. */
const reportSchema = z.object({
    kind: z.literal("report"),
    topic: z.string().min(1).max(64),
    payload: z.unknown(),
}).strict();

/** Last message on a link that is closed because it is idle. The receiver does not treat the close as a lost member. */
const goodbyeSchema = z.object({ kind: z.literal("goodbye") }).strict();

/** Any message on an authenticated link. */
export const peerMessageSchema = z.discriminatedUnion("kind", [
    heartbeatSchema,
    gossipSchema,
    callSchema,
    replySchema,
    reportSchema,
    goodbyeSchema,
]);

/** A message on an authenticated link. */
export type PeerMessage = z.output<typeof peerMessageSchema>;
/** A heartbeat. */
export type Heartbeat = z.output<typeof heartbeatSchema>;
/** An entry of the gossip map on the wire. */
export type GossipEntry = z.output<typeof gossipEntrySchema>;
