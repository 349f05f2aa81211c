import type { Invariants } from "../telemetry/Invariants";

/** The right to send one call once. It is held by the attempt that created the record. */
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
     * Notes that the call is sent now.
     *
     * @throws FailureError when it was sent before or given up
     */
    consume(): void {
        this.invariants.assert(
            "at-most-one-send",
            this.state === "held",
            () => `call "${this.key}" attempt "${this.attemptId}" is ${this.state} and would be sent`,
        );
        this.state = "sent";
    }

    /**
     * Notes that a send reached no one: no connection could be made.
     *
     * @throws FailureError when the call was not sent
     */
    restore(): void {
        this.invariants.assert(
            "restore-after-send",
            this.state === "sent",
            () => `call "${this.key}" is ${this.state} and would be restored`,
        );
        this.state = "held";
    }

    /**
     * Gives the right up, so that "not run" may be said.
     *
     * @throws FailureError when the call was sent
     */
    release(): void {
        this.invariants.assert(
            "no-not-run-after-send",
            this.state === "held",
            () =>
                `call "${this.key}" attempt "${this.attemptId}" is ${this.state} and would be called not run`,
        );
        this.state = "given-up";
    }
}
