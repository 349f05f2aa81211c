/** Shapes of the callers' interface. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { ActiveConfiguration } from "../configuration/types";
import type { ClientAccount } from "../declaration/declarationSchema";

/** One HTTP exchange. */
export interface Exchange {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    /** Path without query, decoded only by the handler. */
    readonly path: string;
    readonly query: URLSearchParams;
    /** Path and query as received. */
    readonly target: string;
    /** Aborts when the caller's connection closes. */
    readonly closed: AbortSignal;
}

/** A caller that proved its account. */
export interface AuthenticatedCaller {
    readonly account: ClientAccount;
    readonly configuration: ActiveConfiguration;
}
