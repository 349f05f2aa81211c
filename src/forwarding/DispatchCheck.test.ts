import type { TrackedInstance } from "../placement/createTrackedInstance";
import type { PendingDispatch } from "../stopping/types";
import { DispatchCheck } from "./DispatchCheck";
import type { InterruptKind } from "./RequestInterrupt";

const upstream = {} as TrackedInstance;
const deadlineMs = 70;

describe("DispatchCheck", () => {
    let interrupt: InterruptKind | undefined;
    let quarantinedMs: number | undefined;
    let isAllowed: boolean;
    let isAccepting: boolean;
    let isBound: boolean;
    let isListingCurrent: boolean;
    let asked: PendingDispatch[];
    let check: DispatchCheck;

    beforeEach(() => {
        interrupt = undefined;
        quarantinedMs = undefined;
        isAllowed = true;
        isAccepting = true;
        isBound = false;
        isListingCurrent = true;
        asked = [];
        check = new DispatchCheck({
            instances: {
                isAcceptingRequests: () => isAccepting,
                isListingCurrent: () => isListingCurrent,
            },
            interrupt: { read: () => interrupt },
            crashWatch: { readQuarantinedMs: () => quarantinedMs },
            binding: {
                get isBound() {
                    return isBound;
                },
            },
            plannedStop: {
                isDispatchAllowed: dispatch => {
                    asked.push(dispatch);
                    return isAllowed;
                },
            },
            deadlineMs,
            hasBegun: () => true,
        });
    });

    it("wants a request that nothing speaks against, and asks the stop with the request's own time", () => {
        expect(check.isWanted(upstream, false)).toBe(true);
        expect(check.findUnsentResult()).toBeUndefined();
        expect(asked[0]).toEqual({ deadlineMs, hasBegun: true });
    });

    it("refuses a request that the stop would cut, is quarantined or interrupted, in the reverse order", () => {
        isAllowed = false;
        expect(check.isWanted(upstream, true)).toBe(false);
        expect(check.findUnsentResult()).toMatchObject({
            isSent: false,
            isNotRun: true,
            message: expect.stringMatching(/stopping/),
        });
        quarantinedMs = 5;
        expect(check.findUnsentResult()).toMatchObject({ message: expect.stringMatching(/crash/) });
        interrupt = "left";
        expect(check.findUnsentResult()).toEqual({ kind: "interrupted", by: "left" });
        expect(check.isWanted(upstream, true)).toBe(false);
    });

    it("refuses a bound request where the version of the upstream is not known, for this attempt only", () => {
        isBound = true;
        isListingCurrent = false;
        expect(check.isWanted(upstream, true)).toBe(true);
        expect(check.isWanted(upstream, false)).toBe(false);
        expect(check.findUnsentResult()).toMatchObject({
            message: expect.stringMatching(/software version/),
        });
        expect(check.findRefusal()).toBeUndefined();
    });

    it("finds nothing against the request where the upstream takes none", () => {
        isAccepting = false;
        expect(check.isWanted(upstream, true)).toBe(false);
        expect(check.findUnsentResult()).toBeUndefined();
    });
});
