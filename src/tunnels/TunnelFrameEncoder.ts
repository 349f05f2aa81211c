import { Transform } from "node:stream";
import { frameLengthBytes } from "./constants";

/**
 * Puts the bytes of an upstream into frames. Its regular end is a frame of its own, since a process that is killed ends its
 * connections regularly, too.
 */
export class TunnelFrameEncoder extends Transform {
    constructor() {
        super({
            transform: (chunk: Buffer, _encoding, callback) =>
                callback(undefined, Buffer.concat([encodeLength(chunk.length), chunk])),
            flush: callback => callback(undefined, encodeLength(0)),
        });
    }
}

const encodeLength = (length: number): Buffer => {
    const encoded = Buffer.alloc(frameLengthBytes);
    encoded.writeUInt32BE(length);
    return encoded;
};
