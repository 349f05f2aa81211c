import type { ServiceName } from "./types";

/**
 * Creates the typed name under which a service is registered.
 *
 * @param id - unique name within a kernel
 * @returns the typed name
 * @example
 * export const membershipName = createServiceName<Membership>("membership");
 */
export const createServiceName = <T>(id: string): ServiceName<T> => ({ id });
