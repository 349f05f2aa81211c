import { computeServiceSeconds, engineSpeed } from "./PolicySimulation";
import type { Deployment } from "./types";

const msPerHour = 3_600_000;

/**
 * Least cost per thousand answers with full knowledge: every slot of just enough machines is always taken, all of
 * them reclaimable, the cheapest first, and such that the load survives the loss of any one data centre.
 *
 * @param deployment - sizes and prices
 * @param durationMs - length of the run
 * @param answers - number of answers
 */
export const computeCostBound = (deployment: Deployment, durationMs: number, answers: number): number => {
    const seconds = computeServiceSeconds(deployment);
    const machines = Math.ceil(deployment.requestsPerSecond * seconds / engineSpeed.slots);
    const perHour = Math.min(...listSpreads(machines, deployment.pricesPerHour));
    return perHour * durationMs / msPerHour / answers * 1_000;
};

/** Prices of the ways to place machines over data centres so that the largest one can be lost. */
const listSpreads = (machines: number, prices: readonly number[]): number[] => {
    const sorted = [...prices].sort((a, b) => a - b);
    const costs: number[] = [];
    for (let places = 2; places <= sorted.length; places += 1) {
        const perPlace = Math.ceil(machines / (places - 1));
        let left = machines + perPlace;
        let cost = 0;
        for (const price of sorted.slice(0, places)) {
            const taken = Math.min(perPlace, left);
            cost += taken * price;
            left -= taken;
        }
        costs.push(cost);
    }
    return costs;
};
