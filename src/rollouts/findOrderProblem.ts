import type { ServingConfiguration } from "../routes/types";
import type { RolloutOrder } from "./types";

const maxDurationMs = 86_400_000; // a day

/**
 * Finds what is wrong with an order.
 *
 * @param order - the order
 * @param configuration - configuration in force
 * @returns a sentence for the operator; undefined if the order can be carried out
 */
export const findOrderProblem = (
    order: RolloutOrder,
    configuration: ServingConfiguration,
): string | undefined => {
    if (order.problem !== undefined) {
        return order.problem;
    }
    if (!configuration.services.some(({ name }) => name === order.service)) {
        return `the configuration in force has no service "${order.service}"`;
    }
    if (order.version === "") {
        return "the order names no version";
    }
    if (!(order.durationMs > 0)) {
        return "the duration has to be above 0";
    }
    if (order.durationMs > maxDurationMs) {
        return `the duration has to be at most ${maxDurationMs} ms`;
    }
    return undefined;
};
