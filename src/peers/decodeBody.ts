import { inflateRawSync } from "node:zlib";
import { Unpackr } from "msgpackr";

const unpackr = new Unpackr({ useRecords: false, mapsAsObjects: true });
const maxValueBytes = 16_777_216; // as much as an answer of the store may have

/**
 * Unpacks a value that `encodeBody` has packed.
 *
 * @param packed - the compressed encoding
 * @returns plain data
 * @throws Error if the bytes are not such an encoding, or the value is larger than any that is sent
 */
export const decodeBody = (packed: Buffer): unknown =>
    unpackr.unpack(inflateRawSync(packed, { maxOutputLength: maxValueBytes }));
