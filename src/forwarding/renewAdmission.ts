import type { IncomingMessage } from "node:http";
import { type AdmissionTrace, admitRequest, type AdmittedRequest } from "./admitRequest";
import type { ForwardContext } from "./ForwardContext";

/** Options of {@link renewAdmission}. */
export interface RenewAdmissionOptions {
    readonly context: ForwardContext;
    readonly request: IncomingMessage;
    readonly admitted: AdmittedRequest;
    /** Filled in as by {@link admitRequest}. */
    readonly trace: AdmissionTrace;
}

const maxAgeMs = 100; // one read of the body's rest, as for most requests, takes less

/**
 * Admits a request once more after its body has ended, which may be long after its head: its route and key may have been
 * taken away, or can no longer be confirmed, and its quota is that of the time at which it is sent. An admission that has
 * just been made under the configuration in force is kept.
 *
 * @param options - the request and its admission
 * @returns the admission to be used
 * @throws FailureError if the request is refused; it has then not run, and no quota is charged for it
 */
export const renewAdmission = (
    { context, request, admitted, trace }: RenewAdmissionOptions,
): AdmittedRequest => {
    const isRecent = context.clock.readMonotonicMs() - admitted.admittedMs <= maxAgeMs;
    if (isRecent && context.servingState.table.value?.configuration.version === admitted.version) {
        return admitted;
    }
    admitted.releaseQuota();
    return admitRequest(context, request, trace);
};
