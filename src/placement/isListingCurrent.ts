import { maxConfirmedAgeMs } from "../feeds/constants";
import type { FeedFollower } from "../feeds/FeedFollower";

const rewriteMs = 2_500; // after an outage of the store, upstreams have written their entries again within 2 s

/**
 * Returns whether what is listed of the upstreams is that of the processes that run now: it was confirmed lately, and for
 * some time without a longer pause.
 *
 * @param feed - feed of the upstreams
 * @returns false if an upstream may have restarted with another software version under its id and address
 */
export const isListingCurrent = (
    feed: Pick<FeedFollower<unknown>, "readAgeMs" | "readSinceResumedMs">,
): boolean => feed.readAgeMs() <= maxConfirmedAgeMs && feed.readSinceResumedMs() > rewriteMs;
