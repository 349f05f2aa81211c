import type { Invariants } from "../telemetry/Invariants";

/** Permit to send one call once. It belongs to the attempt that created the call's record. */
export class SendPermit {
    private state: "held" | "sent" | "given-up" = "held";

    constructor(
        readonly key: string,
        readonly attemptId: string,
        readonly revision: number,
        private readonly invariants: Invariants,
    ) {}

    /** Whether the call may have been sent. */
    get wasSent(): boolean {
        return this.state === "sent";
    }

    /**
     * Uses the permit; to be called right before the call is sent.
     *
     * @throws FailureError when the call was sent before or the permit was released
     */
    consume(): void {
        this.invariants.assert(
            "at-most-one-send",
            this.state === "held",
            () =>
                `call "${this.key}" of attempt "${this.attemptId}" must not be sent: permit is ${this.state}`,
        );
        this.state = "sent";
    }

    /**
     * Makes the permit valid again after a send for which no connection could be made.
     *
     * @throws FailureError when the call was not sent
     */
    restore(): void {
        this.invariants.assert(
            "restore-after-send",
            this.state === "sent",
            () => `the permit of call "${this.key}" cannot be restored: it is ${this.state}`,
        );
        this.state = "held";
    }

    /**
     * Releases the permit unused. Only then may the call be reported as not run.
     *
     * @throws FailureError when the call was sent or the permit was released before
     */
    release(): void {
        this.invariants.assert(
            "no-not-run-after-send",
            this.state === "held",
            () =>
                `call "${this.key}" of attempt "${this.attemptId}" cannot be marked not run: permit is ${this.state}`,
        );
        this.state = "given-up";
    }
}
