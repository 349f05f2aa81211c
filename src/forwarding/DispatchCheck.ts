import type { InstanceRegistry } from "../placement/InstanceRegistry";
import type { TrackedInstance } from "../placement/createTrackedInstance";
import type { PlannedStop } from "../stopping/PlannedStop";
import { quarantinedMessage } from "./constants";
import { createUnsentResult } from "./createUnsentResult";
import type { CrashWatch } from "./CrashWatch";
import type { RequestInterrupt } from "./RequestInterrupt";
import type { StreamBinding } from "./StreamBinding";
import type { AttemptResult } from "./types";

/** Options of {@link DispatchCheck}. */
export interface DispatchCheckOptions {
    readonly instances: Pick<InstanceRegistry, "isAcceptingRequests" | "isListingCurrent">;
    readonly interrupt: Pick<RequestInterrupt, "read">;
    readonly crashWatch: Pick<CrashWatch, "readQuarantinedMs">;
    readonly binding: Pick<StreamBinding, "isBound">;
    readonly plannedStop: Pick<PlannedStop, "isDispatchAllowed">;
    /** Monotonic time of the request's deadline, in milliseconds. */
    readonly deadlineMs: number;
    /** Whether a part of a stream has been sent to the caller. */
    readonly hasBegun: () => boolean;
}

const unknownVersionMessage = "the upstream may run another software version since the store cannot be read";
const stoppingMessage = "the node is stopping, and the request might not end before";

/** Decides whether one request may be sent, right before its first byte is written to an upstream. */
export class DispatchCheck {
    /** Whether the upstream asked about last was not used since its software version was not known. */
    private isVersionRefused = false;

    constructor(private readonly options: DispatchCheckOptions) {}

    /** Whether the stop of the node allows to send the request now. */
    isAllowedByStop(): boolean {
        const { plannedStop, deadlineMs, hasBegun } = this.options;
        return plannedStop.isDispatchAllowed({ deadlineMs, hasBegun: hasBegun() });
    }

    /**
     * Whether the request may be written to a connection now.
     *
     * @param upstream - the upstream at its other end
     * @param isConfirmed - whether the connection was opened to the process that is listed
     */
    isWanted(upstream: TrackedInstance, isConfirmed: boolean): boolean {
        const { binding, instances } = this.options;
        this.isVersionRefused = binding.isBound && !this.isVersionKnown(isConfirmed);
        return !this.isVersionRefused && this.findRefusal() === undefined
            && instances.isAcceptingRequests(upstream);
    }

    /**
     * Whether the upstream at the other end of a connection runs the software version that is listed.
     *
     * @param isConfirmed - whether the connection was opened to the process that is listed
     */
    isVersionKnown(isConfirmed: boolean): boolean {
        return isConfirmed || this.options.instances.isListingCurrent();
    }

    /** Finds the result of a request that may not be sent to any upstream now; undefined if it may. */
    findRefusal(): AttemptResult | undefined {
        const interrupt = this.options.interrupt.read();
        if (interrupt) {
            return { kind: "interrupted", by: interrupt };
        }
        if (this.options.crashWatch.readQuarantinedMs() !== undefined) {
            return createUnsentResult(quarantinedMessage);
        }
        return this.isAllowedByStop() ? undefined : createUnsentResult(stoppingMessage);
    }

    /** Finds the result of an attempt that was not sent because of the request; undefined if because of the upstream. */
    findUnsentResult(): AttemptResult | undefined {
        const unknownVersion = this.isVersionRefused ? createUnsentResult(unknownVersionMessage) : undefined;
        return this.findRefusal() ?? unknownVersion;
    }
}
