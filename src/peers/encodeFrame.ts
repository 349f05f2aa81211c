import { Packr } from "msgpackr";

const packr = new Packr({ useRecords: false });

/**
 * Encodes a message as MessagePack.
 *
 * @param message - plain data
 * @returns the content of one web-socket frame
 */
export const encodeFrame = (message: unknown): Buffer => packr.pack(message);
