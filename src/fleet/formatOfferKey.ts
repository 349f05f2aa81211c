import type { VmOffer } from "../platform/types";

/**
 * Formats the key of an offer. It does not depend on the price.
 *
 * @param offer - the offer
 * @returns data centre, machine class and market, separated by slashes
 */
export const formatOfferKey = (offer: VmOffer): string =>
    `${offer.dataCentre}/${offer.machineClass}/${offer.market}`;
