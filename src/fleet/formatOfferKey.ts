import type { VmOffer } from "../platform/types";

/**
 * Names an offer by what it offers, whatever its price.
 *
 * @param offer - the offer
 * @returns data centre, machine class and market
 */
export const formatOfferKey = (offer: VmOffer): string =>
    `${offer.dataCentre}/${offer.machineClass}/${offer.market}`;
