import { randomBytes, randomInt } from "node:crypto";
import type { RandomSource } from "./types";

const maxRandomInt = 0xffffffff;

/** Random source of the machine, fit for identifiers that must not collide. */
export class SystemRandom implements RandomSource {
    nextFloat(): number {
        return randomInt(maxRandomInt) / maxRandomInt;
    }

    nextInt(bound: number): number {
        return randomInt(bound);
    }

    nextId(bytes: number): string {
        return randomBytes(bytes).toString("hex");
    }
}
