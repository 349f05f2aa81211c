import { inflateRawSync } from "node:zlib";
import { maxBodyBytes } from "./constants";
import { decodeFrame } from "./decodeFrame";

/**
 * Unpacks a value that `encodeBody` has packed.
 *
 * @param packed - the compressed encoding
 * @returns plain data
 * @throws Error if the bytes are not such an encoding, or the value is larger than any that is sent
 */
export const decodeBody = (packed: Buffer): unknown =>
    decodeFrame(inflateRawSync(packed, { maxOutputLength: maxBodyBytes }));
