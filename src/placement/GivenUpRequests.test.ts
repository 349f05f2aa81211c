import { GivenUpRequests } from "./GivenUpRequests";

const heard = { places: 2, inFlight: 0, lastReceivedMs: 500 };

describe("GivenUpRequests", () => {
    let givenUp: GivenUpRequests;

    beforeEach(() => {
        givenUp = new GivenUpRequests();
    });

    it("leaves the places that requests in flight do not take", () => {
        expect(givenUp.hasPlace({ ...heard, inFlight: 1, nowMs: 1_000 })).toBe(true);
        expect(givenUp.hasPlace({ ...heard, inFlight: 2, nowMs: 1_000 })).toBe(false);
        expect(givenUp.hasPlace({ ...heard, places: 0, nowMs: 1_000 })).toBe(false);
    });

    it("keeps the places of requests that were given up until the upstream is heard", () => {
        givenUp.add(1_000);
        expect(givenUp.hasPlace({ ...heard, nowMs: 1_000 })).toBe(true);
        expect(givenUp.hasPlace({ ...heard, inFlight: 1, nowMs: 9_000 })).toBe(false);
        expect(givenUp.hasPlace({ ...heard, inFlight: 1, lastReceivedMs: 1_100, nowMs: 1_200 })).toBe(true);
    });

    it("lets one request through at growing intervals where no place is left", () => {
        [1_000, 1_400].forEach(atMs => givenUp.add(atMs));
        expect(givenUp.hasPlace({ ...heard, nowMs: 2_300 })).toBe(false);
        expect(givenUp.hasPlace({ ...heard, nowMs: 2_400 })).toBe(true);
        expect(givenUp.hasPlace({ ...heard, inFlight: 1, nowMs: 2_400 })).toBe(false);
        givenUp.add(2_800);
        expect(givenUp.hasPlace({ ...heard, nowMs: 4_500 })).toBe(false);
        expect(givenUp.hasPlace({ ...heard, nowMs: 4_600 })).toBe(true);
    });
});
