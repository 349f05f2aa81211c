import type { TrackedInstance } from "../placement/createTrackedInstance";
import type { RandomSource } from "../kernel/types";
import { moveMs } from "./planRollout";
import type { RolloutState } from "./RolloutState";
import { selectTrialUpstreams } from "./selectTrialUpstreams";
import { rolloutPhases } from "./types";

/** Options of {@link VersionChoice}. */
export interface VersionChoiceOptions {
    /** Version that an order names. */
    readonly version: string;
    /** Route of the request. */
    readonly route: string;
    /** Reads the newest roll-out that is known; it may be the one before the order's. */
    readonly readState: () => RolloutState | undefined;
    /** Lists the upstreams of the service that are not leaving, usable or not. */
    readonly listInService: () => readonly TrackedInstance[];
    /** Share of the requests that a version on trial may get. */
    readonly exposureShare: number;
    readonly random: RandomSource;
    /** Monotonic time, in milliseconds. */
    readonly readNowMs: () => number;
}

/** Decides which upstreams one request may be sent to while a roll-out of its service is ordered. */
export class VersionChoice {
    /** Whether the request is one of those that try the version; decided once. */
    private isTrial: boolean | undefined;
    /** Place of the request among those that move to the version, from 0 to 1. */
    private readonly place: number;
    private sends = 0;
    /** Roll-out that counts the present attempt; undefined if its upstream is not of the version. */
    private counted: RolloutState | undefined;

    constructor(private readonly options: VersionChoiceOptions) {
        this.place = options.random.drawFloat();
    }

    /**
     * Selects the upstreams that the request may be sent to.
     *
     * @param usable - usable upstreams of the service, of the version that began the request's stream if there is one
     * @param isBound - whether the request takes up a stream, or its stream has begun
     */
    select(usable: readonly TrackedInstance[], isBound: boolean): TrackedInstance[] {
        const state = this.readCurrent();
        const allowed = usable.filter(upstream => !this.isBarred(upstream));
        switch (state?.record.phase) {
            case rolloutPhases.trial:
                return this.selectOnTrial(state, allowed, isBound);
            case rolloutPhases.moving:
                return isBound ? allowed : this.selectWhileMoving(state, allowed);
            case rolloutPhases.completed:
            case rolloutPhases.rolledBack:
                return allowed;
            default:
                return this.selectUnknown(allowed);
        }
    }

    /** Records that the request is being sent to an upstream. */
    markSent(upstream: TrackedInstance): void {
        this.sends += 1;
        this.counted = this.isCandidate(upstream) ? this.readCurrent() : undefined;
        this.counted?.countExposed();
    }

    /** Records that the request did not reach the upstream of its present attempt after all. */
    markUnsent(): void {
        this.counted?.dropExposed();
        this.counted = undefined;
    }

    /** Returns the roll-out that the order is about; undefined before its record is known. */
    private readCurrent(): RolloutState | undefined {
        const state = this.options.readState();
        return state?.record.version === this.options.version ? state : undefined;
    }

    private isCandidate({ instance }: TrackedInstance): boolean {
        return instance.softwareVersion === this.options.version;
    }

    /** Whether an upstream's version was rolled back or replaced, or is one that another order now replaces on trial. */
    private isBarred({ instance }: TrackedInstance): boolean {
        const state = this.options.readState();
        if (!state) {
            return false;
        }
        const { phase, version, isRefused, barred, replaced } = state.record;
        const { softwareVersion = "" } = instance;
        const isCurrent = version === this.options.version;
        const isUnproven = phase === rolloutPhases.rolledBack
            || (!isCurrent && phase !== rolloutPhases.completed);
        return (isUnproven && !isRefused && softwareVersion === version) || barred.includes(softwareVersion)
            || replaced.includes(softwareVersion);
    }

    private selectOnTrial(
        state: RolloutState,
        allowed: readonly TrackedInstance[],
        isBound: boolean,
    ): TrackedInstance[] {
        const others = allowed.filter(upstream => !this.isCandidate(upstream));
        if (state.verdict.kind === "bad" || !state.isInformed) {
            return others;
        }
        if (isBound) {
            return [...allowed];
        }
        this.isTrial ??= state.budget.available > 0 && this.place < state.readTrialShare(this.options.route);
        const isTrial = this.isTrial && this.sends === 0 && state.budget.available > 0;
        const trial = isTrial ? this.listTrialUpstreams(state, allowed) : [];
        return trial.length > 0 ? trial : others;
    }

    private listTrialUpstreams(
        { id }: RolloutState,
        allowed: readonly TrackedInstance[],
    ): TrackedInstance[] {
        const listed = this.options.listInService();
        const candidates = listed.filter(upstream => this.isCandidate(upstream)).map(({ instance }) =>
            instance.id
        );
        const selected = selectTrialUpstreams({
            rolloutId: id,
            candidates,
            baselineCount: listed.length - candidates.length,
            share: this.options.exposureShare,
        });
        return allowed.filter(({ instance }) => selected.has(instance.id));
    }

    private selectWhileMoving(state: RolloutState, allowed: readonly TrackedInstance[]): TrackedInstance[] {
        const movedShare = Math.max(
            this.options.exposureShare,
            state.readPhaseAgeMs(this.options.readNowMs()) / moveMs,
        );
        const isBad = state.verdict.kind === "bad";
        const isMoved = this.place < movedShare && !isBad;
        const preferred = allowed.filter(upstream => this.isCandidate(upstream) === isMoved);
        return preferred.length > 0 || isBad ? preferred : [...allowed];
    }

    /** Before its record is known, the version gets requests only where no other one is listed, as after its completion. */
    private selectUnknown(allowed: readonly TrackedInstance[]): TrackedInstance[] {
        const hasOther = this.options.listInService().some(upstream => !this.isCandidate(upstream));
        return hasOther ? allowed.filter(upstream => !this.isCandidate(upstream)) : [...allowed];
    }
}
