import { GrowingAllowance } from "../_lib/GrowingAllowance";

const maxBytesBeforeBody = 32_768; // interim heads and head
const framing = { initial: 16_384, perS: 8_192 } as const; // bytes of chunk sizes, extensions and trailers
const framingPerBodyByte = 1; // chunks of 6 bytes
const parts = { initial: 4_096, perS: 1_000 } as const; // each costs a call of the parser, whatever it holds
const bytesPerPart = 8;

/**
 * Limits of what an answer may hold besides its body, and of the number of parts in which the body arrives. The limits on
 * framing and parts grow with the body and with time, so that an answer of any length or duration stays within them.
 */
export class AnswerLimits {
    private readonly framing = new GrowingAllowance(framing);
    private readonly parts = new GrowingAllowance(parts);
    private bytesBeforeBody = 0;
    private hasHead = false;

    /** Records that the head of the answer has been read. */
    recordHead(): void {
        this.hasHead = true;
    }

    /**
     * Records bytes that are read next from the connection.
     *
     * @param bytes - their number
     * @returns the reason why they are not to be read; undefined if the answer is within its limits
     */
    recordInput(bytes: number): string | undefined {
        if (this.hasHead) {
            return this.framing.take(bytes) ? undefined : "the answer is mostly framing or trailers";
        }
        if (this.bytesBeforeBody >= maxBytesBeforeBody) {
            return `no complete head in ${this.bytesBeforeBody} bytes`;
        }
        this.bytesBeforeBody += bytes;
        return undefined;
    }

    /**
     * Records a part of the body.
     *
     * @param bytes - its length
     * @returns the reason why no more is to be read; undefined if the answer is within its limits
     */
    recordPart(bytes: number): string | undefined {
        this.framing.take(-bytes * (1 + framingPerBodyByte));
        return this.parts.take(1 - bytes / bytesPerPart)
            ? undefined
            : "the answer arrives in too many small parts";
    }
}
