import { RecentStreams } from "./RecentStreams";

const origin = { service: "llm", softwareVersion: "v1" };
const keptMs = 1_000;

describe("RecentStreams", () => {
    it("keeps a stream for at least the given time, and for at most twice that time", () => {
        const streams = new RecentStreams();
        streams.add("first", origin, 0, keptMs);
        streams.add("second", origin, 999, keptMs);
        expect(streams.find("first")).toEqual(origin);
        streams.add("third", origin, 1_998, keptMs);
        expect(streams.find("second")).toEqual(origin);
        streams.add("fourth", origin, 2_999, keptMs);
        expect(streams.find("first")).toBeUndefined();
        expect(streams.find("third")).toEqual(origin);
    });

    it("drops all streams after a long pause", () => {
        const streams = new RecentStreams();
        streams.add("first", origin, 0, keptMs);
        streams.add("second", origin, 5_000, keptMs);
        expect(streams.find("first")).toBeUndefined();
    });

    it("keeps no more than twice its limit", () => {
        const streams = new RecentStreams(2);
        for (let index = 0; index < 9; index += 1) {
            streams.add(`s-${index}`, origin, index, keptMs);
        }
        expect(streams.takeAll().map(stream => stream.requestId)).toEqual(["s-6", "s-7", "s-8"]);
        expect(streams.takeAll()).toEqual([]);
    });
});
