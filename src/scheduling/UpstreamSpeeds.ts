import { dropOldest } from "../_lib/dropOldest";
import { DecayedMean } from "./DecayedMean";

const weight = 0.1;
const minSamples = 5; // requests, before which an upstream counts as usual
const minFactor = 0.5;
const maxFactor = 3;
const maxUpstreams = 4_096;

interface LearnedSpeed {
    readonly ratio: DecayedMean;
    samples: number;
}

/** Learns how long upstreams take for the same work, from the requests that they have answered to this node. */
export class UpstreamSpeeds {
    private readonly upstreams = new Map<string, LearnedSpeed>();

    /**
     * Learns from a request that was answered.
     *
     * @param upstream - id of the upstream
     * @param ratio - what the request took, divided by what it takes at a usual upstream
     */
    learn(upstream: string, ratio: number): void {
        const speed = this.upstreams.get(upstream) ?? { ratio: new DecayedMean(weight), samples: 0 };
        this.upstreams.delete(upstream);
        this.upstreams.set(upstream, speed);
        dropOldest(this.upstreams, maxUpstreams);
        speed.ratio.add(Math.min(maxFactor, ratio));
        speed.samples += 1;
    }

    /** Reads how many times as long an upstream takes as a usual one. */
    readFactor(upstream: string): number {
        const speed = this.upstreams.get(upstream);
        if (!speed || speed.samples < minSamples) {
            return 1;
        }
        return Math.min(maxFactor, Math.max(minFactor, speed.ratio.value!));
    }
}
