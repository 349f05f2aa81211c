import { StandInServer } from "./StandInServer";

/** Stand-in of the weight store: one transfer may begin per interval. */
export class WeightStandIn {
    readonly server = new StandInServer(() => ({ waitMs: this.reserve() }));
    private nextAtMs = 0;

    constructor(private readonly intervalMs = 200) {}

    private reserve(): number {
        const nowMs = Date.now();
        if (nowMs < this.nextAtMs) {
            return this.nextAtMs - nowMs;
        }
        this.nextAtMs = nowMs + this.intervalMs;
        return 0;
    }
}
