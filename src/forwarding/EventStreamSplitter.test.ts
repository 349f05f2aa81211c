import fc from "fast-check";
import { measureProcessorTime } from "../../standins/measureProcessorTime";
import { EventStreamSplitter } from "./EventStreamSplitter";

const maxEventBytes = 1_048_576;
const chunkBytes = 8;
const maxBusyMs = 500; // how late a request may be answered after its time-out

const createEvents = (first: number, last: number): string => {
    let text = "";
    for (let id = first; id <= last; id += 1) {
        text += id % 5 === 0
            ? `versions: 2\nid: ${id}\ndata: x\n\n`
            : `id: ${id}\ndata: ${"y".repeat(id % 7)}\n\n`;
    }
    return text;
};

describe("EventStreamSplitter", () => {
    it("returns the same bytes for any chunking of the stream", () => {
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 1, max: 30 }), { maxLength: 60 }), sizes => {
                const whole = Buffer.from(createEvents(1, 40));
                const splitter = new EventStreamSplitter();
                const parts: Buffer[] = [];
                let position = 0;
                for (const size of [...sizes, whole.length]) {
                    parts.push(splitter.push(whole.subarray(position, position + size)).bytes);
                    position = Math.min(whole.length, position + size);
                }
                expect(Buffer.concat(parts).equals(whole)).toBe(true);
                expect(splitter.lastEventId).toBe(40);
                expect(splitter.incompleteEvent.length).toBe(0);
            }),
            { seed: 11 },
        );
    });

    it("holds back an event that is not complete", () => {
        const splitter = new EventStreamSplitter();
        expect(splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda")).bytes.toString()).toBe(
            "id: 1\ndata: a\n\n",
        );
        expect(splitter.lastEventId).toBe(1);
        expect(splitter.incompleteEvent.toString()).toBe("id: 2\nda");
    });

    // Guards against an event in small chunks that occupies the process for longer than other requests may wait.
    it("takes a long event in small chunks in a time that grows with its bytes alone", () => {
        const splitter = new EventStreamSplitter();
        const event = Buffer.from(`id: 1\ndata: ${"x".repeat(maxEventBytes - 100)}\n\n`);
        let bytes = 0;
        const busyMs = measureProcessorTime(() => {
            for (let start = 0; start < event.length; start += chunkBytes) {
                bytes += splitter.push(event.subarray(start, start + chunkBytes)).bytes.length;
            }
        });
        expect(busyMs).toBeLessThan(maxBusyMs);
        expect(bytes).toBe(event.length);
        expect(splitter.isForeign).toBe(false);
    });

    it("skips events up to the given id", () => {
        const splitter = new EventStreamSplitter(3);
        const batch = splitter.push(Buffer.from(createEvents(2, 5)));
        expect(batch.bytes.toString()).toBe(createEvents(4, 5));
        expect(batch.eventCount).toBe(2);
    });

    it("accepts CRLF as line end", () => {
        const splitter = new EventStreamSplitter();
        splitter.push(Buffer.from("id: 1\r\ndata: a\r\n\r\n"));
        expect(splitter.lastEventId).toBe(1);
    });

    it.each([
        ["id: 3", true],
        ["id: 3\ndata: x\n", true],
        [": comment", true],
        ["\n", false],
        ["\r\n", false],
    ])(
        "tells whether a stream ends inside an event: %j",
        (rest, isInside) => {
            const splitter = new EventStreamSplitter();
            splitter.push(Buffer.from(`id: 1\ndata: x\n\nid: 2\ndata: y\n\n${rest}`));
            expect(splitter.isInsideEvent).toBe(isInside);
        },
    );

    it.each([
        ["a line", "xxx\n\n", true],
        ["a head", "HTTP/1.1 200 OK\n\n", true],
        ["a line that is too long", "x".repeat(1_100_000), true],
        ["a comment", ": comment\n\n", false],
        ["a retry time", "retry: 5\n\n", false],
        ["a field without a value", "data\r\n\r\n", false],
        ["blank lines", "\n\n\n", false],
        ["an event with a further field", "x-versions: 2\nid: 3\ndata: x\n\n", false],
    ])("tells bytes that are no events: %s", (_kind, text, isForeign) => {
        const splitter = new EventStreamSplitter();
        expect(splitter.push(Buffer.from(`id: 1\ndata: x\n\n${text}`)).eventCount).toBeGreaterThan(0);
        expect(splitter.isForeign).toBe(isForeign);
    });

    describe("events that tell nothing", () => {
        const countUntilForeign = (splitter: EventStreamSplitter, text: string): number => {
            const chunk = Buffer.from(text);
            let count = 0;
            while (count < 300_000 && !splitter.isForeign) {
                splitter.push(chunk);
                count += 1;
            }
            return count;
        };

        it.each([": x\n\n", "\n\n", "retry: 1\n\n", "id: 1\ndata: x\n\n", "id: 1\n\n"])(
            "are limited in number: %j",
            text => {
                expect(countUntilForeign(new EventStreamSplitter(1), text)).toBeLessThan(2_000);
            },
        );

        it("are limited in bytes", () => {
            const text = `: ${"x".repeat(10_000)}\n\n`;
            expect(countUntilForeign(new EventStreamSplitter(), text)).toBeLessThan(40);
        });

        it("may be as many as a stream repeats when it is resumed", () => {
            const splitter = new EventStreamSplitter(50_000);
            for (let id = 1; id <= 50_001; id += 1) {
                splitter.push(Buffer.from(`id: ${id}\ndata: x\n\n`));
            }
            expect(splitter).toMatchObject({ isForeign: false, lastEventId: 50_001 });
        });

        it("may be between events, however long the stream is", () => {
            expect(countUntilForeign(new EventStreamSplitter(), ": x\n\n: y\n\ndata: z\n\n")).toBe(300_000);
        });

        it("are found in an event of too many lines, of which only so many are looked at", () => {
            const splitter = new EventStreamSplitter();
            splitter.push(Buffer.from(`${":\n".repeat(400_000)}\n`));
            expect(splitter.isForeign).toBe(true);
        });
    });
});
