import { z } from "zod";

/** Schema of {@link RequestSnapshot}. Its fields are sent to other nodes and stored. */
export const requestSnapshotSchema = z.object({
    id: z.string().min(1).max(200),
    accountId: z.string(),
    service: z.string(),
    className: z.string(),
    body: z.record(z.unknown()),
    acceptedAtMs: z.number(),
    kept: z.boolean(),
    /** Bytes of the events produced so far. */
    events: z.custom<Uint8Array>(value => value instanceof Uint8Array, "expected bytes"),
    nextOffset: z.number().int().min(0),
    /** Whether the answer is complete and kept only for callers that resume. */
    ended: z.boolean(),
    /** Number of attempts so far, on all nodes. */
    attempts: z.number().int().min(0),
    /** Number of the last attempts whose answer broke off as soon as it began; missing for none. */
    brokenStarts: z.number().int().min(1).optional(),
    /** Runner that has the request's prompt in its cache. */
    runnerId: z.string().optional(),
}).strict();

/** State of a request, from which another node can continue it. */
export type RequestSnapshot = z.output<typeof requestSnapshotSchema>;
