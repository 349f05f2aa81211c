import type { VmOffer } from "../platform/types";

const startMinutes = 3; // a replacement serves nothing while it starts and loads its model
const minutesPerHour = 60;

/**
 * Price of an hour of service: a reclaimable VM is paid while its replacements start, so that a data centre with
 * many reclaims is dearer than its offer says.
 *
 * @param offer - the offer
 * @param reclaimsPerHour - share of reclaimable VMs taken per hour, by data centre
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
    const lostShare = Math.min(0.9, reclaims * startMinutes / minutesPerHour);
    return offer.pricePerHour / (1 - lostShare);
};
