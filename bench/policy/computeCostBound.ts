import { computeServiceSeconds, engineSpeed } from "./PolicySimulation";
import type { Deployment } from "./types";

const msPerHour = 3_600_000;

/**
 * Computes a lower bound of the cost per thousand answers, with full knowledge of the load: the fewest VMs with all
 * slots occupied, all of them reclaimable, in the cheapest data centres, with enough spare VMs for the loss of any one
 * of these.
 *
 * @param deployment - load and prices
 * @param durationMs - length of the run, in milliseconds
 * @param answers - number of answers
 * @returns cost in the currency of the prices
 */
export const computeCostBound = (deployment: Deployment, durationMs: number, answers: number): number => {
    const serviceSeconds = computeServiceSeconds(deployment);
    const vmCount = Math.ceil(deployment.requestsPerSecond * serviceSeconds / engineSpeed.slots);
    const leastPricePerHour = Math.min(...listPlacementPrices(vmCount, deployment.pricesPerHour));
    return leastPricePerHour * durationMs / msPerHour / answers * 1_000;
};

/**
 * Lists the price per hour of each placement over the two, three or more cheapest data centres, where the other data
 * centres hold enough VMs when the largest one is lost.
 */
const listPlacementPrices = (vmCount: number, prices: readonly number[]): number[] => {
    const sorted = [...prices].sort((a, b) => a - b);
    const costs: number[] = [];
    for (let dataCentreCount = 2; dataCentreCount <= sorted.length; dataCentreCount += 1) {
        const vmsPerDataCentre = Math.ceil(vmCount / (dataCentreCount - 1));
        let remaining = vmCount + vmsPerDataCentre;
        let cost = 0;
        for (const price of sorted.slice(0, dataCentreCount)) {
            const placed = Math.min(vmsPerDataCentre, remaining);
            cost += placed * price;
            remaining -= placed;
        }
        costs.push(cost);
    }
    return costs;
};
