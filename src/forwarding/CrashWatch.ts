import type { Clock } from "../kernel/types";
import type { TrackedInstance } from "../placement/createTrackedInstance";
import type { CrashQuarantine } from "../quarantine/CrashQuarantine";
import type { ForwardTraits } from "./ForwardTraits";
import type { AttemptResult, RequestMetadata } from "./types";

/** Options of {@link CrashWatch}. */
export interface CrashWatchOptions {
    readonly clock: Clock;
    readonly quarantine: Pick<
        CrashQuarantine,
        "readRemainingMs" | "findSuspect" | "recordBreak" | "observeData" | "hasCrashSince" | "recordSound"
    >;
    readonly traits: Pick<ForwardTraits, "partIds" | "identity">;
    readonly metadata: Pick<RequestMetadata, "promptParts" | "requestId">;
}

const firstErrorStatus = 400;
const soundAfterMs = 500; // from the first event; an upstream that crashes under a request does so at once

/** Tells the quarantine how the attempts of one request go, and asks whether it may be sent. */
export class CrashWatch {
    /** Whether the upstream of the latest attempt has begun to answer. */
    hasBegun = false;
    /** Monotonic time of the first event of the current attempt, in milliseconds; undefined before it. */
    private firstEventMs: number | undefined;
    private sentMs = -Infinity;
    private lastDataMs = -Infinity;
    private reportedSoundMs = -Infinity;

    constructor(private readonly options: CrashWatchOptions) {}

    /** Time for which the request is refused, in milliseconds; undefined if it is not. */
    readQuarantinedMs(): number | undefined {
        return this.options.quarantine.readRemainingMs(this.options.traits);
    }

    /** Finds by what the request may crash upstreams; what has that in common is sent to one upstream only. */
    findSuspect(): string | undefined {
        return this.options.quarantine.findSuspect(this.options.traits);
    }

    /** Begins an attempt. */
    beginAttempt(): void {
        this.hasBegun = false;
        this.firstEventMs = undefined;
        this.sentMs = this.options.clock.readMonotonicMs();
    }

    /** Notes that the upstream has begun to answer. */
    observeAnswer(): void {
        this.hasBegun = true;
    }

    /** Notes the first event of a stream. */
    observeFirstEvent(): void {
        this.firstEventMs = this.options.clock.readMonotonicMs();
    }

    /** Notes that data have arrived. */
    observeData({ instance }: TrackedInstance): void {
        const { clock, quarantine } = this.options;
        this.lastDataMs = clock.readMonotonicMs();
        quarantine.observeData(instance, this.sentMs);
        if (quarantine.hasCrashSince(this.reportedSoundMs) && this.hasGoneOn()) {
            this.reportSound();
        }
    }

    /** Reports how an attempt ended, if that tells whether upstreams crash under the request. */
    endAttempt({ instance }: TrackedInstance, result: AttemptResult, status: number | undefined): void {
        const { promptParts, requestId } = this.options.metadata;
        const isAnswered = result.kind === "answered" && status !== undefined && status < firstErrorStatus;
        if (isAnswered || this.hasGoneOn()) {
            this.reportSound();
            return;
        }
        if (
            result.kind === "failed" && result.isSent && !result.isNotRun && !result.isSilent
            && !result.answer
        ) {
            const key = promptParts.at(-1)?.id ?? requestId ?? "";
            const { hasBegun } = this;
            const { partIds, identity } = this.options.traits;
            const ranMs = this.options.clock.readMonotonicMs() - this.sentMs;
            const broken = { key, partIds, identity, ranMs, hasBegun };
            this.options.quarantine.recordBreak(instance, broken);
        }
    }

    /** Whether the answer went on for longer than an upstream takes to crash under it. */
    private hasGoneOn(): boolean {
        return this.firstEventMs !== undefined && this.lastDataMs - this.firstEventMs >= soundAfterMs;
    }

    private reportSound(): void {
        this.reportedSoundMs = this.lastDataMs;
        this.options.quarantine.recordSound(this.options.traits);
    }
}
