import { abortReason } from "../_lib/abortReason";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Hold } from "../http/HeldBytes";

/** An HTTP request with its response. */
export class Exchange {
    private closeController: AbortController | undefined;
    /** Bytes held for the request until it has ended; undefined if it has no body. */
    hold: Hold | undefined;

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

    /** Parameters of the query string. */
    get query(): URLSearchParams {
        return new URLSearchParams(this.target.slice(this.path.length));
    }

    /** Aborts when the caller's connection closes. Created on first use, since short calls do not need it. */
    get closeSignal(): AbortSignal {
        if (!this.closeController) {
            const closeController = new AbortController();
            this.closeController = closeController;
            this.response.on("close", () => closeController.abort(abortReason));
            if (this.response.closed) {
                closeController.abort(abortReason);
            }
        }
        return this.closeController.signal;
    }
}
