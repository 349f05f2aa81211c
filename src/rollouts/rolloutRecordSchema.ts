import { z } from "zod";
import { rolloutPhases, type RolloutRecord } from "./types";

/** Table of the records, by service. */
export const recordsTable = "rollouts";

const numberSchema = z.number().finite();
const versionsSchema = z.array(z.string());

/** Schema of a {@link RolloutRecord}, as it is stored and as nodes tell it each other. */
export const rolloutRecordSchema: z.ZodType<RolloutRecord, z.ZodTypeDef, unknown> = z.object({
    service: z.string(),
    version: z.string(),
    era: numberSchema,
    revision: numberSchema,
    previousRevision: numberSchema,
    durationMs: numberSchema,
    phase: z.nativeEnum(rolloutPhases),
    startedStoreMs: numberSchema,
    phaseStoreMs: numberSchema,
    isRefused: z.boolean(),
    reason: z.string(),
    barred: versionsSchema,
    replaced: versionsSchema,
    fencing: numberSchema,
});
