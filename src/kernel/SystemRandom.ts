import { randomBytes, randomInt } from "node:crypto";
import type { RandomSource } from "./types";

const maxRandomInt = 0xffffffff;
const poolBytes = 4_096; // one call to randomBytes serves many identifiers

/** Cryptographically secure random source, for identifiers that must not collide or be guessed. */
export class SystemRandom implements RandomSource {
    private pool = Buffer.alloc(0);
    private usedBytes = 0;

    drawFloat(): number {
        return this.take(4).readUInt32LE() / (maxRandomInt + 1);
    }

    drawInt(bound: number): number {
        return bound <= 1 ? 0 : randomInt(bound);
    }

    drawId(bytes: number): string {
        return this.take(bytes).toString("hex");
    }

    private take(bytes: number): Buffer {
        if (this.usedBytes + bytes > this.pool.length) {
            this.pool = randomBytes(Math.max(poolBytes, bytes));
            this.usedBytes = 0;
        }
        this.usedBytes += bytes;
        return this.pool.subarray(this.usedBytes - bytes, this.usedBytes);
    }
}
