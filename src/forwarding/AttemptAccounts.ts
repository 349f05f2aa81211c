import type { TrackedInstance } from "../placement/createTrackedInstance";
import type { AttemptOutcome } from "../rollouts/classifyAttempt";
import type { RolloutAttempt } from "../rollouts/RolloutAttempt";
import type { VersionChoice } from "../rollouts/VersionChoice";
import type { WorkInProgress } from "../scheduling/WorkBalance";
import type { AdmittedRequest } from "./admitRequest";
import type { ForwardContext } from "./ForwardContext";
import type { ForwardRecorder } from "./ForwardRecorder";
import type { AttemptResult } from "./types";

/** Options of {@link AttemptAccounts}. */
export interface AttemptAccountsOptions {
    readonly context: Pick<ForwardContext, "rollouts" | "work">;
    readonly admitted: Pick<AdmittedRequest, "route" | "service" | "account" | "metadata">;
    /** Chooses versions during a roll-out; undefined if there is none. */
    readonly versions: Pick<VersionChoice, "markSent" | "markUnsent"> | undefined;
    readonly recorder: Pick<ForwardRecorder, "trace">;
    /** Id of the last event that was relayed to the caller; undefined before the first. */
    readonly readLastEventId: () => number | undefined;
}

/** Tells what the attempts of one request cost, and what they say of their upstreams' versions. */
export class AttemptAccounts {
    private attempt: RolloutAttempt | undefined;
    private work: WorkInProgress | undefined;
    private firstEventId = 0;

    constructor(private readonly options: AttemptAccountsOptions) {}

    /** Begins an attempt; the one before has ended. */
    begin(upstream: TrackedInstance): void {
        const { context, admitted, versions, readLastEventId } = this.options;
        const { route, service, account, metadata } = admitted;
        const { promptTokens, outputTokens } = metadata;
        versions?.markSent(upstream);
        this.attempt = context.rollouts.beginAttempt(upstream, route.name);
        this.work = context.work?.begin(upstream.instance.id, {
            service,
            route: route.name,
            account: account?.name,
            promptTokens,
            outputTokens,
        });
        this.firstEventId = readLastEventId() ?? 0;
    }

    /** Records the first event of the attempt. */
    observeFirstEvent(): void {
        this.attempt?.observeFirstEvent();
    }

    /**
     * Ends the attempt.
     *
     * @param result - its result; undefined if it was cut
     * @param isSent - whether any byte of the request may have reached the upstream
     */
    end(result: AttemptResult | undefined, isSent: boolean): void {
        const { versions, recorder, readLastEventId } = this.options;
        if (!isSent) {
            versions?.markUnsent();
        }
        this.work?.end(result?.kind === "answered");
        const eventCount = (readLastEventId() ?? 0) - this.firstEventId;
        this.attempt?.end(toOutcomeKind(result), recorder.trace.status, eventCount);
    }
}

/** What an attempt tells of its upstream's software version. */
const toOutcomeKind = (result: AttemptResult | undefined): AttemptOutcome["kind"] => {
    if (result?.kind === "failed") {
        return result.isSent && !result.isNotRun ? "failed" : "unsent";
    }
    return result?.kind ?? "interrupted";
};
