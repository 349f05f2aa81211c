import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomSource } from "./types";

const floatSteps = 0x100000000; // 2^32 equally likely values of drawFloat

/** Deterministic random source: equal seeds give equal sequences. Not cryptographic. */
export class SeededRandom implements RandomSource {
    private readonly generator: ReturnType<typeof xoroshiro128plus>;

    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    drawFloat(): number {
        return this.drawInt(floatSteps) / floatSteps;
    }

    drawInt(bound: number): number {
        return uniformInt(this.generator, 0, bound - 1);
    }

    drawId(bytes: number): string {
        let id = "";
        for (let index = 0; index < bytes; index += 1) {
            id += this.drawInt(256).toString(16).padStart(2, "0");
        }
        return id;
    }
}
