import { GivenUpRequests } from "./GivenUpRequests";

const options = { places: 2, inFlight: 0, answeredSentMs: 500 };

describe("GivenUpRequests", () => {
    let givenUp: GivenUpRequests;

    beforeEach(() => {
        givenUp = new GivenUpRequests();
    });

    it("leaves the places that requests in flight do not take", () => {
        expect(givenUp.hasPlace({ ...options, inFlight: 1, nowMs: 1_000 })).toBe(true);
        expect(givenUp.hasPlace({ ...options, inFlight: 2, nowMs: 1_000 })).toBe(false);
        expect(givenUp.hasPlace({ ...options, places: 0, nowMs: 1_000 })).toBe(false);
    });

    it("keeps the places of requests that were given up until a later one is answered", () => {
        givenUp.add(1_000);
        expect(givenUp.hasPlace({ ...options, nowMs: 1_000 })).toBe(true);
        expect(givenUp.hasPlace({ ...options, inFlight: 1, nowMs: 9_000 })).toBe(false);
        expect(givenUp.hasPlace({ ...options, inFlight: 1, answeredSentMs: 1_100, nowMs: 1_200 })).toBe(true);
    });

    it("lets one request through at growing intervals where no place is left", () => {
        [1_000, 1_400].forEach(atMs => givenUp.add(atMs));
        expect(givenUp.hasPlace({ ...options, nowMs: 2_300 })).toBe(false);
        expect(givenUp.hasPlace({ ...options, nowMs: 2_400 })).toBe(true);
        expect(givenUp.hasPlace({ ...options, inFlight: 1, nowMs: 2_400 })).toBe(false);
        givenUp.add(2_800);
        expect(givenUp.hasPlace({ ...options, nowMs: 4_500 })).toBe(false);
        expect(givenUp.hasPlace({ ...options, nowMs: 4_600 })).toBe(true);
    });

    it("waits no longer than four seconds for the next one", () => {
        [1_000, 9_000].forEach(atMs => givenUp.add(atMs));
        expect(givenUp.hasPlace({ ...options, nowMs: 12_900 })).toBe(false);
        expect(givenUp.hasPlace({ ...options, nowMs: 13_000 })).toBe(true);
    });
});
