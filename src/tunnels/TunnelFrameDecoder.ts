import { frameLengthBytes } from "./constants";

/** Takes the bytes out of the frames of a tunnel, as they arrive. */
export class TunnelFrameDecoder {
    /** Whether the frame that marks the regular end has arrived. */
    isEnded = false;
    /** Bytes of a frame's length that is not complete yet. */
    private lengthBytes = Buffer.alloc(0);
    /** Bytes of the current frame that have not arrived yet. */
    private missingBytes = 0;

    /** @param onMark - called for each frame without bytes; default: it marks the regular end */
    constructor(private readonly onMark?: () => void) {}

    /**
     * Decodes a chunk, which may begin and end anywhere in a frame.
     *
     * @param chunk - next bytes of the tunnel; those after the regular end are ignored
     * @returns the bytes in it without their frames, in order
     */
    *decode(chunk: Buffer): Generator<Buffer> {
        let rest = chunk;
        while (rest.length > 0 && !this.isEnded) {
            if (this.missingBytes === 0) {
                rest = this.decodeLength(rest);
            }
            else {
                const bytes = rest.subarray(0, this.missingBytes);
                this.missingBytes -= bytes.length;
                rest = rest.subarray(bytes.length);
                yield bytes;
            }
        }
    }

    /** Decodes as much of a frame's length as has arrived. Returns the bytes after it. */
    private decodeLength(bytes: Buffer): Buffer {
        const end = frameLengthBytes - this.lengthBytes.length;
        const lengthBytes = Buffer.concat([this.lengthBytes, bytes.subarray(0, end)]);
        if (lengthBytes.length < frameLengthBytes) {
            this.lengthBytes = lengthBytes;
            return bytes.subarray(end);
        }
        this.lengthBytes = Buffer.alloc(0);
        this.missingBytes = lengthBytes.readUInt32BE();
        if (this.missingBytes === 0) {
            this.applyMark();
        }
        return bytes.subarray(end);
    }

    private applyMark(): void {
        if (this.onMark) {
            this.onMark();
        }
        else {
            this.isEnded = true;
        }
    }
}
