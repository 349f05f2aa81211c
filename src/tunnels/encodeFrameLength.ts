import { frameLengthBytes } from "./constants";

/**
 * Encodes the number that begins a frame.
 *
 * @param length - number of bytes in the frame
 * @returns the first bytes of the frame
 */
export const encodeFrameLength = (length: number): Buffer => {
    const encoded = Buffer.alloc(frameLengthBytes);
    encoded.writeUInt32BE(length);
    return encoded;
};
