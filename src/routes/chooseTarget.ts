import type { RandomSource } from "../kernel/types";
import type { RouteTarget } from "./types";

/**
 * Chooses one of a route's targets at random, in proportion to their weights.
 *
 * @param targets - the targets
 * @param random - random source
 * @returns the chosen service's name, or undefined when no target has a weight above 0
 * @example
 * chooseTarget([{ service: "a", weight: 90 }, { service: "b", weight: 10 }], random); // "a" nine times in ten
 */
export const chooseTarget = (targets: readonly RouteTarget[], random: RandomSource): string | undefined => {
    const total = targets.reduce((sum, target) => sum + target.weight, 0);
    let left = random.drawFloat() * total;
    for (const target of targets) {
        left -= target.weight;
        if (left < 0) {
            return target.service;
        }
    }
    return undefined;
};
