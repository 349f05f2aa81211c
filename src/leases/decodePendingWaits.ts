import { z } from "zod";
import type { Row } from "../platform/types";
import { anySubject, maxPendingSubjects } from "./PendingCalls";
import type { PendingWaits } from "./types";

/** Options of {@link decodePendingWaits}. */
export interface DecodePendingWaitsOptions {
    /** Era of the store, if it states eras. */
    readonly era: number | undefined;
    /** Time after its confirmation in which a call may still arrive, in milliseconds. */
    readonly lateArrivalMs: number;
}

const maxKeyLength = 256; // with the number of subjects, bounds what is copied from another writer's row

const recordSchema = z.object({
    lateCalls: z.record(z.string().max(maxKeyLength), z.number().finite().nonnegative()),
    era: z.number().optional(),
});

/**
 * Decodes which calls of former holders may still arrive when a lease's row is taken over. Any call may where the row does
 * not tell: one of another writer, or of an earlier version, which took calls for ended when it gave them up; and where the
 * store may have lost the records of an earlier era.
 *
 * @param row - the row that is taken over
 * @param options - era of the store, and the longest wait
 * @returns the remaining times as of the moment at which the row was first seen
 */
export const decodePendingWaits = (
    { value }: Pick<Row, "value">,
    { era, lateArrivalMs }: DecodePendingWaitsOptions,
): PendingWaits => {
    const record = recordSchema.safeParse(value);
    if (!record.success || record.data.era !== era) {
        return { [anySubject]: lateArrivalMs };
    }
    const waits = Object.entries(record.data.lateCalls);
    if (waits.length > maxPendingSubjects) {
        return { [anySubject]: lateArrivalMs };
    }
    return Object.fromEntries(waits.map(([key, waitMs]) => [key, Math.min(waitMs, lateArrivalMs)]));
};
