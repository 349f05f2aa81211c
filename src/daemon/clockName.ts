import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";

/** Name of the clock. */
export const clockName = createServiceName<Clock>("clock");
