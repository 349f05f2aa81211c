import { Transform } from "node:stream";
import { joinParts } from "../_lib/joinParts";
import { TunnelFrameDecoder } from "./TunnelFrameDecoder";

/**
 * Takes the bytes for an upstream out of their frames. It fails at the beginning of a request that the upstream is not to
 * get any more; one that has begun is passed on to its end.
 */
export class TunnelRequestDecoder extends Transform {
    /** @param isAccepting - whether the upstream may get a request that begins now */
    constructor(isAccepting: () => boolean) {
        let isRefused = false;
        const decoder = new TunnelFrameDecoder(() => {
            isRefused ||= !isAccepting();
        });
        super({
            transform: (chunk: Buffer, _encoding, callback) => {
                const parts: Buffer[] = [];
                for (const bytes of decoder.decode(chunk)) {
                    if (isRefused) {
                        break;
                    }
                    parts.push(bytes);
                }
                if (parts.length > 0) {
                    this.push(joinParts(parts));
                }
                callback(isRefused ? new Error("the upstream accepts no more requests") : undefined);
            },
        });
    }
}
