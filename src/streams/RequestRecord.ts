import type { WorkClass } from "../declaration/declarationSchema";
import type { Failure } from "../results/types";
import type { Runner } from "../upstreams/Runner";
import type { StreamLog } from "./StreamLog";
import type { RunningAttempt } from "./types";

/** State of an accepted model request. */
export type RequestState = "queued" | "running" | "answered" | "failed" | "cancelled" | "handed-over";

/** Immutable properties of an accepted model request. */
export interface RequestDescription {
    readonly id: string;
    readonly accountId: string;
    readonly service: string;
    readonly workClass: WorkClass;
    /** Body as the caller sent it. */
    readonly body: Readonly<Record<string, unknown>>;
    /** Wall-clock time of acceptance, in milliseconds. */
    readonly acceptedAtMs: number;
    /** Whether it is stored in the table service until it is answered. */
    readonly isKept: boolean;
}

/** An accepted model request on the node that runs it. */
export class RequestRecord {
    state: RequestState = "queued";
    failure: Failure | undefined;
    currentAttempt: RunningAttempt | undefined;
    /** Number of attempts so far, on all nodes. */
    attemptCount = 0;
    /** Number of the last attempts, on all nodes, whose answer broke off as soon as it began. */
    brokenStarts = 0;
    firstTokenAtMs: number | undefined;
    endedAtMs: number | undefined;
    /** Runner to which the request's KV cache was moved; the next attempt goes there. */
    preferredRunner: Runner | undefined;
    /** Whether new events are ignored, because the present state is being handed over to another node. */
    isFrozen = false;
    /** Whether a caller has received the whole answer. */
    isDelivered = false;
    /** Node that took the request over. */
    movedTo: string | undefined;
    private readonly endListeners: (() => void)[] = [];

    constructor(readonly description: RequestDescription, readonly log: StreamLog) {}

    get id(): string {
        return this.description.id;
    }

    /** Whether the request ended on this node. */
    get hasEnded(): boolean {
        return this.state !== "queued" && this.state !== "running";
    }

    /** Ends the request on this node and notifies the listeners. */
    finish(state: Exclude<RequestState, "queued" | "running">, nowMs: number, failure?: Failure): void {
        this.state = state;
        this.failure = failure;
        this.endedAtMs = nowMs;
        this.log.notify();
        this.endListeners.splice(0).forEach(listener => listener());
    }

    /** Resolves when the request has ended on this node. */
    waitForEnd(): Promise<void> {
        if (this.hasEnded) {
            return Promise.resolve();
        }
        return new Promise(resolve => this.endListeners.push(resolve));
    }
}
