import { dropOldest } from "../_lib/dropOldest";
import { DecayedMean } from "./DecayedMean";
import type { WorkEstimate, WorkRequest } from "./types";

const weight = 0.05; // of a further request; follows a change within some tens of requests
const tokensPerOutputToken = 10; // prompt tokens that cost an engine about as much as one output token
const defaultMsPerToken = 0.05;
const defaultPlainMs = 50;
const minAccountFactor = 0.25;
const maxAccountFactor = 4;
const maxKinds = 512; // routes, and accounts on a route, that are remembered

/** What is learned about one kind of requests. */
interface LearnedKind {
    /** Time per unit of size, in milliseconds. */
    readonly perUnit: DecayedMean;
    /** Distance of estimates from what was taken, as a share of the estimate. */
    readonly error: DecayedMean;
}

/**
 * Learns what requests cost from what earlier ones took: for each route by size, since requests that look alike cost very
 * different amounts, and for each account by how far its requests differ from the route's mean. A route that is not
 * known yet costs as much by size as all others.
 */
export class WorkModel {
    private readonly routes = new Map<string, LearnedKind>();
    /** Ratio of what an account's requests on a route took, and the route's mean. */
    private readonly accounts = new Map<string, DecayedMean>();
    private readonly perToken = new DecayedMean(weight);
    private readonly perPlain = new DecayedMean(weight);

    /** Estimates the cost of a request. */
    estimate(request: WorkRequest): WorkEstimate {
        const workMs = this.estimateByRoute(request) * this.readAccountFactor(request);
        const error = this.routes.get(formatRouteKey(request))?.error.value ?? 1;
        return { workMs, errorMs: workMs * error };
    }

    /**
     * Learns from a request that was answered.
     *
     * @param request - the request
     * @param tookMs - time that it occupied a place, corrected by its upstream's speed, in milliseconds
     */
    learn(request: WorkRequest, tookMs: number): void {
        const expected = this.estimate(request).workMs;
        const kind = this.getRoute(request);
        kind.error.add(Math.abs(tookMs - expected) / expected);
        if (request.account !== undefined) {
            this.getAccount(request).add(tookMs / this.estimateByRoute(request));
        }
        const perUnit = tookMs / computeSize(request);
        kind.perUnit.add(perUnit);
        (isPlain(request) ? this.perPlain : this.perToken).add(perUnit);
    }

    private estimateByRoute(request: WorkRequest): number {
        const known = this.routes.get(formatRouteKey(request))?.perUnit.value;
        const others = isPlain(request)
            ? this.perPlain.value ?? defaultPlainMs
            : this.perToken.value ?? defaultMsPerToken;
        return Math.max(1, (known ?? others) * computeSize(request));
    }

    private readAccountFactor(request: WorkRequest): number {
        const factor = this.accounts.get(formatAccountKey(request))?.value ?? 1;
        return Math.min(maxAccountFactor, Math.max(minAccountFactor, factor));
    }

    private getRoute(request: WorkRequest): LearnedKind {
        const key = formatRouteKey(request);
        const kind = this.routes.get(key)
            ?? { perUnit: new DecayedMean(weight), error: new DecayedMean(weight) };
        this.routes.delete(key);
        this.routes.set(key, kind);
        dropOldest(this.routes, maxKinds);
        return kind;
    }

    private getAccount(request: WorkRequest): DecayedMean {
        const key = formatAccountKey(request);
        const factor = this.accounts.get(key) ?? new DecayedMean(weight);
        this.accounts.delete(key);
        this.accounts.set(key, factor);
        dropOldest(this.accounts, maxKinds);
        return factor;
    }
}

const isPlain = ({ promptTokens }: WorkRequest): boolean => promptTokens === undefined;

/** Size of a request in prompt tokens; 1 for requests to plain services. */
const computeSize = ({ promptTokens, outputTokens }: WorkRequest): number =>
    promptTokens === undefined ? 1 : Math.max(1, promptTokens + outputTokens * tokensPerOutputToken);

const formatRouteKey = ({ service, route }: WorkRequest): string => `${service} ${route}`;

const formatAccountKey = (request: WorkRequest): string => `${formatRouteKey(request)} ${request.account}`;
