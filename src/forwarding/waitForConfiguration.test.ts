import { FakeClock } from "../kernel/FakeClock";
import { runTask } from "../kernel/runTask";
import { FailureError } from "../results/FailureError";
import type { ServingState } from "../routes/ServingState";
import type { AdmissionTrace } from "./admitRequest";
import { waitForConfiguration } from "./waitForConfiguration";

class FakeState {
    isRead = true;
    isUpToDate = false;
    refreshes = 0;
    finish = (): void => {};

    get table(): { value: unknown; } {
        return { value: this.isRead ? {} : undefined };
    }

    isCurrent(): boolean {
        return this.isUpToDate;
    }

    refresh(): Promise<void> {
        this.refreshes += 1;
        return new Promise(resolve => {
            this.finish = resolve;
        });
    }
}

describe("waitForConfiguration", () => {
    const start = (
        state: FakeState,
    ): { clock: FakeClock; trace: AdmissionTrace; done: Promise<unknown>; } => {
        const clock = new FakeClock();
        const trace: AdmissionTrace = {};
        const context = { clock, servingState: state as unknown as ServingState };
        const task = runTask(() => waitForConfiguration(context, trace), { name: "wait" });
        return { clock, trace, done: task.done.catch((error: unknown) => error) };
    };

    it("does not hold requests while the configuration is current, or none was read", async () => {
        const state = new FakeState();
        state.isUpToDate = true;
        await start(state).done;
        state.isUpToDate = false;
        state.isRead = false;
        await start(state).done;
        expect(state.refreshes).toBe(0);
    });

    it("holds a request until the configuration is current", async () => {
        const state = new FakeState();
        const { clock, trace, done } = start(state);
        await clock.advance(150);
        state.isUpToDate = true;
        state.finish();
        await expect(done).resolves.toBeUndefined();
        expect(trace.heldMs).toBe(150);
    });

    it("refuses a request as not run where the configuration does not become current in time", async () => {
        const state = new FakeState();
        const { clock, done } = start(state);
        await clock.advance(1_000);
        const error = await done as FailureError;
        expect(error).toBeInstanceOf(FailureError);
        expect(error.failure.resultCode.name).toBe("configuration-not-current");
        expect(error.failure.retryAfterMs).toBeGreaterThan(0);
    });
});
