import { z } from "zod";

/** Schema of a request that is handed to another node. */
export const requestSnapshotSchema = z.object({
    id: z.string().min(1).max(200),
    accountId: z.string(),
    service: z.string(),
    className: z.string(),
    body: z.record(z.unknown()),
    acceptedAtMs: z.number(),
    kept: z.boolean(),
    /** Events produced so far, as bytes. */
    events: z.custom<Uint8Array>(value => value instanceof Uint8Array, "expected bytes"),
    nextOffset: z.number().int().min(0),
    /** Whether the answer is whole and only kept for resuming. */
    ended: z.boolean(),
    /** Attempts so far, on all nodes. */
    attempts: z.number().int().min(0),
    /** Runner that has the request's prompt cached. */
    runnerId: z.string().optional(),
}).strict();

/** A request that is handed to another node. */
export type RequestSnapshot = z.output<typeof requestSnapshotSchema>;
