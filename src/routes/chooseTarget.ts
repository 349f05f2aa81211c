import type { RandomSource } from "../kernel/types";
import type { RouteTarget } from "./types";

/**
 * Chooses one of a route's targets at random, in proportion to their weights.
 *
 * @param targets - targets of the route
 * @param random - random source
 * @returns name of the chosen service, or undefined if no target has a weight above 0
 * @example
 * chooseTarget([{ service: "a", weight: 90 }, { service: "b", weight: 10 }], random); // "a" in 90 % of all calls
 */
export const chooseTarget = (targets: readonly RouteTarget[], random: RandomSource): string | undefined => {
    const total = targets.reduce((sum, target) => sum + target.weight, 0);
    let remaining = random.drawFloat() * total;
    for (const target of targets) {
        remaining -= target.weight;
        if (remaining < 0) {
            return target.service;
        }
    }
    return undefined;
};
