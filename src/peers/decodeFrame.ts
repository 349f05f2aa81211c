import { Unpackr } from "msgpackr";

const unpackr = new Unpackr({ useRecords: false, mapsAsObjects: true });

/**
 * Decodes what `encodeFrame` has encoded.
 *
 * @param frame - MessagePack
 * @returns plain data
 * @throws Error if the bytes are not MessagePack
 */
export const decodeFrame = (frame: Buffer): unknown => unpackr.unpack(frame);
