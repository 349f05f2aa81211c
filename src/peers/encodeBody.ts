import { deflateRawSync } from "node:zlib";
import { encodeFrame } from "./encodeFrame";

const maxPlainBytes = 4_096;
const fastestLevel = 1;

/**
 * Packs a value that is too large to be sent as it is.
 *
 * @param value - plain data
 * @returns its compressed encoding, which {@link decodeBody} reads; undefined if the value is small
 */
export const encodeBody = (value: unknown): Buffer | undefined => {
    const encoded = encodeFrame(value);
    return encoded.length <= maxPlainBytes ? undefined : deflateRawSync(encoded, { level: fastestLevel });
};
