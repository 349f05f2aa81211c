import fc from "fast-check";
import { measureProcessorTime } from "../../standins/measureProcessorTime";
import { StreamLog } from "../streams/StreamLog";
import { StreamMemory } from "../streams/StreamMemory";
import { NumberedEventBatcher } from "./NumberedEventBatcher";
import type { NumberedEventBatch } from "./types";

const maxEventBytes = 1_048_576;
const chunkBytes = 8;
const maxBusyMs = 500; // how late a request may be answered after its time-out

const createEvents = (first: number, count: number, done: boolean): string => {
    let text = "";
    for (let id = first; id < first + count; id += 1) {
        text += `id: ${id}\ndata: {"t":"${"x".repeat(id % 7)}"}\n\n`;
    }
    return done ? `${text}id: ${first + count}\ndata: [DONE]\n\n` : text;
};

describe("NumberedEventBatcher and StreamLog", () => {
    it("reassemble the answer from chunks of any size", () => {
        fc.assert(
            fc.property(
                fc.integer({ min: 1, max: 60 }),
                fc.array(fc.integer({ min: 1, max: 40 })),
                (count, cuts) => {
                    const whole = Buffer.from(createEvents(0, count, true));
                    const batcher = new NumberedEventBatcher();
                    const log = new StreamLog(new StreamMemory(1e9));
                    let position = 0;
                    for (const size of [...cuts, whole.length]) {
                        const batch = batcher.push(whole.subarray(position, position + size));
                        position = Math.min(whole.length, position + size);
                        if (batch) {
                            expect(log.append(batch)).toBe("appended");
                        }
                        if (position === whole.length) {
                            break;
                        }
                    }
                    expect(batcher.isComplete).toBe(true);
                    expect(log.nextOffset).toBe(count + 1);
                    expect(log.read(0).equals(whole)).toBe(true);
                    expect(log.read(log.findPosition(count)).toString()).toContain("[DONE]");
                },
            ),
            { seed: 5 },
        );
    });

    it("append new events once, drop duplicates and report gaps for any order of batches", () => {
        const batch = fc.record({ firstOffset: fc.nat(30), count: fc.integer({ min: 1, max: 8 }) });
        fc.assert(
            fc.property(fc.array(batch, { maxLength: 40 }), batches => {
                const log = new StreamLog(new StreamMemory(1e9));
                let next = 0;
                for (const { firstOffset, count } of batches) {
                    const body = Buffer.from(createEvents(firstOffset, count, false));
                    const outcome = log.append({ firstOffset, count, body } as NumberedEventBatch);
                    if (firstOffset > next) {
                        expect(outcome).toBe("gap");
                    }
                    else if (firstOffset + count <= next) {
                        expect(outcome).toBe("duplicate");
                    }
                    else {
                        expect(outcome).toBe("appended");
                        next = firstOffset + count;
                    }
                    expect(log.read(0).toString()).toBe(createEvents(0, next, false));
                }
            }),
            { seed: 6 },
        );
    });

    it("rejects events without a numeric id", () => {
        expect(() => new NumberedEventBatcher().push(Buffer.from("data: x\n\n"))).toThrow("no id line");
        expect(() => new NumberedEventBatcher().push(Buffer.from("id: x\ndata: y\n\n"))).toThrow(
            "not a number",
        );
    });

    // Guards against an engine's error in the middle of a stream.
    it("reject bytes that are no events after and between events", () => {
        const error = "error: out of memory\n\n";
        const [before, after] = [createEvents(0, 2, false), createEvents(2, 2, false)];
        for (const text of [before + error, before + error + after]) {
            expect(() => new NumberedEventBatcher().push(Buffer.from(text))).toThrow("no id line");
        }
    });

    // Guards against an event in small chunks that occupies the process for longer than other requests may wait.
    it("take a long event in small chunks in a time that grows with its bytes alone", () => {
        const batcher = new NumberedEventBatcher();
        const event = Buffer.from(`id: 0\ndata: ${"x".repeat(maxEventBytes - 100)}\n\n`);
        let bytes = 0;
        const busyMs = measureProcessorTime(() => {
            for (let start = 0; start < event.length; start += chunkBytes) {
                bytes += batcher.push(event.subarray(start, start + chunkBytes))?.body.length ?? 0;
            }
        });
        expect(busyMs).toBeLessThan(maxBusyMs);
        expect(bytes).toBe(event.length);
    });
});
