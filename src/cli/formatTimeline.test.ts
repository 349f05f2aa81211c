import type { EventRecord } from "../telemetry/types";
import { formatTimeline } from "./formatTimeline";

const createEvent = (node: string, wallMs: number, name: string): EventRecord => ({
    event: 2101,
    name,
    level: "info",
    node,
    time: { wallMs, counter: 0 },
    fields: { requestId: "r1" },
});

describe("formatTimeline", () => {
    it("formats one column per node and one row per event", () => {
        const text = formatTimeline([
            createEvent("entry-a", 1_000, "request-accepted"),
            createEvent("entry-b", 1_040, "hand-over-received"),
        ]);
        expect(text.split("\n")).toEqual([
            "      ms  entry-a  entry-b  event",
            "       0  o        |        2101 request-accepted requestId=r1",
            "      40  |        o        2101 hand-over-received requestId=r1",
        ]);
    });

    it("returns \"no events\" for an empty list", () => {
        expect(formatTimeline([])).toBe("no events");
    });
});
