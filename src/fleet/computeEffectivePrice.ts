import type { VmOffer } from "../platform/types";

const replacementMinutes = 3; // a replacement serves no requests while it starts and loads its model
const minutesPerHour = 60;

/**
 * Computes the price of an hour of service. It exceeds the offered price for reclaimable VMs, because the time in which
 * replacements for reclaimed VMs start is paid for but serves no requests.
 *
 * @param offer - the offer
 * @param reclaimsPerHour - share of reclaimable VMs that is reclaimed per hour, by data centre
 * @returns price per hour of service
 */
export const computeEffectivePrice = (
    offer: VmOffer,
    reclaimsPerHour: ReadonlyMap<string, number>,
): number => {
    if (offer.market === "on-demand") {
        return offer.pricePerHour;
    }
    const reclaims = reclaimsPerHour.get(offer.dataCentre) ?? 0;
    const lostShare = Math.min(0.9, reclaims * replacementMinutes / minutesPerHour);
    return offer.pricePerHour / (1 - lostShare);
};
