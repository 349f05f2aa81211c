/** Types of the HTTP interface for callers. */

import type { ActiveConfiguration } from "../configuration/types";
import type { ClientAccount } from "../declaration/declarationSchema";

/** An authenticated client account, and the configuration under which its request is served. */
export interface AuthenticatedCaller {
    readonly account: ClientAccount;
    readonly configuration: ActiveConfiguration;
}
