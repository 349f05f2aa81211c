import type { OperatorRecord, ServingConfiguration } from "./types";

/** Tells a configuration from the other records that operators write. */
export const isServingConfiguration = (record: OperatorRecord): record is ServingConfiguration =>
    !("kind" in record);
