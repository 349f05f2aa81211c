import { abortReason } from "../_lib/abortReason";
import type { IncomingMessage, ServerResponse } from "node:http";

/** One HTTP exchange. */
export class Exchange {
    private closing: AbortController | undefined;

    /**
     * @param request - the incoming request
     * @param response - its response
     * @param path - path without query
     * @param target - path and query as received
     */
    constructor(
        readonly request: IncomingMessage,
        readonly response: ServerResponse,
        readonly path: string,
        readonly target: string,
    ) {}

    /** The query's fields. */
    get query(): URLSearchParams {
        return new URLSearchParams(this.target.slice(this.path.length));
    }

    /** Aborts when the caller's connection closes. Made on first use, as short calls do not need it. */
    get closeSignal(): AbortSignal {
        if (!this.closing) {
            const closing = new AbortController();
            this.closing = closing;
            this.response.on("close", () => closing.abort(abortReason));
            if (this.response.closed) {
                closing.abort(abortReason);
            }
        }
        return this.closing.signal;
    }
}
