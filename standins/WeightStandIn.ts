import { StandInServer } from "./StandInServer";

/**
 * Stand-in for the weight store, which lets one transfer start per interval and answers others with the time to wait.
 */
export class WeightStandIn {
    readonly server = new StandInServer(() => ({ waitMs: this.reserveStart() }));
    private nextStartAtMs = 0;

    constructor(private readonly intervalMs = 200) {}

    private reserveStart(): number {
        const nowMs = Date.now();
        if (nowMs < this.nextStartAtMs) {
            return this.nextStartAtMs - nowMs;
        }
        this.nextStartAtMs = nowMs + this.intervalMs;
        return 0;
    }
}
