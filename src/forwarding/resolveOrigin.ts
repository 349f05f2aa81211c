import type { Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { OriginSearch } from "../origins/StreamOrigins";
import type { StreamOrigin } from "../origins/types";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import { retryRules, type Route, type RouteTarget } from "../routes/types";
import { eventKinds } from "../telemetry/eventKinds";
import type { AdmittedRequest } from "./admitRequest";
import type { ForwardContext } from "./ForwardContext";

interface SoleOrigin {
    readonly origin: StreamOrigin | undefined;
    readonly isConfirmed: boolean;
}

const unknownRetryAfterMs = 300; // the nodes that know the stream may be out of reach for a moment
const unconfirmed: SoleOrigin = { origin: undefined, isConfirmed: false };
const unsearched: OriginSearch = { origin: undefined, source: "nobody", unanswered: 0 };

/**
 * Binds a request that takes up a stream to the service and software version that began it. Other requests are returned
 * unchanged.
 *
 * @param context - services of the node
 * @param admitted - the admitted request
 * @returns the request, with its origin and the service of it
 * @throws FailureError if what began the stream is not known, or may no longer serve the route; it has then not run
 */
export function* resolveOrigin(context: ForwardContext, admitted: AdmittedRequest): Task<AdmittedRequest> {
    const { metadata, route } = admitted;
    const isTakenUp = metadata.resumedRequestId !== undefined || (metadata.lastEventId ?? 0) > 0;
    if (route.retryRule !== retryRules.resumable || !isTakenUp) {
        return admitted;
    }
    const search = metadata.resumedRequestId === undefined
        ? unsearched
        : yield* waitFor(context.origins.find(metadata.resumedRequestId));
    const sole = search.origin ? unconfirmed : yield* findSoleOrigin(context, admitted);
    const origin = search.origin ?? sole.origin;
    const isAllowed = origin !== undefined
        && listTargets(route).some(target => target.service === origin.service);
    context.events.emit(eventKinds.streamTakenUp, {
        requestId: metadata.requestId,
        resumes: metadata.resumedRequestId,
        resumesAfter: metadata.lastEventId,
        service: origin?.service,
        softwareVersion: origin?.softwareVersion,
        source: search.origin === undefined && origin !== undefined ? "sole-version" : search.source,
        isConfirmed: search.origin ? undefined : sole.isConfirmed,
        unanswered: search.unanswered,
        isAllowed,
    });
    context.metrics.takenUpStreams.inc({ route: route.name, outcome: describeOutcome(origin, isAllowed) });
    if (!isAllowed) {
        throw createRefusal(origin);
    }
    return { ...admitted, service: origin.service, origin };
}

/** The origin of every stream of a route with one service, all of whose upstreams have run one version lately. */
function* findSoleOrigin(context: ForwardContext, { route }: AdmittedRequest): Task<SoleOrigin> {
    const [target, ...others] = listTargets(route);
    if (!target || others.length > 0) {
        return unconfirmed;
    }
    const { version, isConfirmed } = yield* waitFor(context.soleVersions.find(target.service));
    const origin = version === undefined ? undefined : { service: target.service, softwareVersion: version };
    return { origin, isConfirmed };
}

const listTargets = (route: Route): RouteTarget[] => route.targets.filter(target => target.weight > 0);

const describeOutcome = (origin: StreamOrigin | undefined, isAllowed: boolean): string => {
    if (origin === undefined) {
        return "unknown";
    }
    return isAllowed ? "bound" : "moved";
};

const createRefusal = (origin: StreamOrigin | undefined): FailureError => {
    const message = origin === undefined
        ? "it is not known what began the stream"
        : `the route no longer leads to service "${origin.service}", which began the stream`;
    const retryAfterMs = origin === undefined ? unknownRetryAfterMs : undefined;
    return new FailureError(createFailure(resultCodes.streamOriginLost, message, { retryAfterMs }));
};
