import { FakeClock } from "../kernel/FakeClock";
import type { TrackedInstance } from "../placement/createTrackedInstance";
import type { BrokenRequest, RequestTraits } from "../quarantine/types";
import { listSharedPartIds } from "./listSharedPartIds";
import { CrashWatch } from "./CrashWatch";
import type { AttemptResult } from "./types";

const upstream = { instance: { id: "u1" } } as unknown as TrackedInstance;
const broken: AttemptResult = { kind: "failed", isSent: true, isNotRun: false, message: "other side closed" };

const promptParts = ["first", "bad", "own"].map(id => ({ id, tokens: 1 }));

class Setup {
    readonly clock = new FakeClock();
    readonly broken: BrokenRequest[] = [];
    asked: RequestTraits | undefined;
    sound = 0;
    lastCrashMs = -Infinity;
    readonly watch = new CrashWatch({
        clock: this.clock,
        quarantine: {
            readRemainingMs: traits => {
                this.asked = { ...traits };
                return traits.partIds.includes("bad") ? 1_000 : undefined;
            },
            findSuspect: ({ partIds }) => partIds.at(-1),
            recordBreak: (_upstream, request) => void this.broken.push(request),
            observeData: () => {},
            hasCrashSince: sinceMs => this.lastCrashMs > sinceMs,
            recordSound: () => {
                this.sound += 1;
            },
        },
        traits: { partIds: listSharedPartIds(promptParts), identity: "identity" },
        metadata: { promptParts, requestId: "request" },
    });

    async stream(durationMs: number): Promise<void> {
        this.watch.beginAttempt();
        this.watch.observeAnswer();
        this.watch.observeFirstEvent();
        for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
            await this.clock.advance(100);
            this.watch.observeData(upstream);
        }
    }
}

describe("CrashWatch", () => {
    let setup: Setup;
    beforeEach(() => {
        setup = new Setup();
    });

    it("asks about the request itself and all parts but the last", () => {
        expect(setup.watch.readQuarantinedMs()).toBe(1_000);
        expect(setup.asked).toEqual({ partIds: ["first", "bad"], identity: "identity" });
        expect(setup.watch.findSuspect()).toBe("bad");
    });

    it("reports an answer that breaks off soon after its first event, by the part of the request itself", async () => {
        await setup.stream(300);
        setup.watch.endAttempt(upstream, broken, 200);
        expect(setup.broken).toEqual([{
            key: "own",
            partIds: ["first", "bad"],
            identity: "identity",
            ranMs: 300,
            hasBegun: true,
        }]);
        expect(setup.sound).toBe(0);
    });

    it("reports an attempt without an answer as not begun, also after an earlier one that was", async () => {
        await setup.stream(300);
        setup.watch.endAttempt(upstream, broken, 200);
        setup.watch.beginAttempt();
        setup.watch.endAttempt(upstream, broken, 200);
        expect(setup.broken.map(request => request.hasBegun)).toEqual([true, false]);
    });

    it("reports the parts as sound once after each crash while an answer goes on, and when it breaks off late", async () => {
        await setup.stream(1_500);
        expect(setup.sound).toBe(0);
        setup.lastCrashMs = setup.clock.readMonotonicMs();
        await setup.clock.advance(100);
        setup.watch.observeData(upstream);
        setup.watch.observeData(upstream);
        expect(setup.sound).toBe(1);
        setup.watch.endAttempt(upstream, broken, 200);
        expect(setup.sound).toBe(2);
        expect(setup.broken).toEqual([]);
    });

    it("does not take silence after the first event for an answer that goes on", async () => {
        await setup.stream(100);
        await setup.clock.advance(2_000);
        setup.watch.endAttempt(upstream, broken, 200);
        expect(setup.sound).toBe(0);
        expect(setup.broken).toHaveLength(1);
    });

    it("reports nothing where the upstream refused the request, answered with an error, or the caller left", () => {
        setup.watch.beginAttempt();
        setup.watch.endAttempt(upstream, { ...broken, isNotRun: true } as AttemptResult, undefined);
        setup.watch.endAttempt(upstream, { ...broken, isSilent: true } as AttemptResult, undefined);
        setup.watch.endAttempt(upstream, { kind: "answered" }, 400);
        setup.watch.endAttempt(upstream, { kind: "interrupted", by: "left" }, undefined);
        expect(setup.broken).toEqual([]);
        expect(setup.sound).toBe(0);
        setup.watch.endAttempt(upstream, { kind: "answered" }, 200);
        expect(setup.sound).toBe(1);
    });
});
