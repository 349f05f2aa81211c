import { Transform } from "node:stream";
import { encodeFrameLength } from "./encodeFrameLength";

/**
 * Puts the bytes of an upstream into frames. Its regular end is a frame of its own, since a process that is killed ends its
 * connections regularly, too.
 */
export class TunnelFrameEncoder extends Transform {
    constructor() {
        super({
            transform: (chunk: Buffer, _encoding, callback) =>
                callback(undefined, Buffer.concat([encodeFrameLength(chunk.length), chunk])),
            flush: callback => callback(undefined, encodeFrameLength(0)),
        });
    }
}
