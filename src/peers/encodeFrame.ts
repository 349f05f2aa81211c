import { Packr } from "msgpackr";

const packr = new Packr({ useRecords: false });

/**
 * Encodes a message for a link.
 *
 * @param message - plain data
 * @returns the MessagePack encoding
 */
export const encodeFrame = (message: unknown): Buffer => packr.pack(message);
