import { AnswerLimits } from "./AnswerLimits";

const kibibyte = 1_024;

/** Records slices of an answer until its limits are passed; returns the number of bytes recorded, up to a maximum. */
const recordSlices = (record: (bytes: number) => string | undefined, maxBytes: number): number => {
    let bytes = 0;
    while (bytes < maxBytes && record(kibibyte) === undefined) {
        bytes += kibibyte;
    }
    return bytes;
};

describe("AnswerLimits", () => {
    it("limits the bytes before the body", () => {
        const limits = new AnswerLimits();
        expect(recordSlices(bytes => limits.recordInput(bytes), 1_000 * kibibyte)).toBe(32 * kibibyte);
    });

    it("limits bytes after the head that are no body", () => {
        const limits = new AnswerLimits();
        limits.recordHead();
        const bytes = recordSlices(size => limits.recordInput(size), 10_000 * kibibyte);
        expect(bytes).toBeLessThan(32 * kibibyte);
    });

    it.each([1, 4, 6])("limits the number of parts of %i bytes", size => {
        const limits = new AnswerLimits();
        limits.recordHead();
        let count = 0;
        while (count < 1_000_000) {
            if (limits.recordInput(size + 5) !== undefined || limits.recordPart(size) !== undefined) {
                break;
            }
            count += 1;
        }
        expect(count).toBeLessThan(50_000);
    });

    it.each([
        ["events of 30 bytes in chunks of their own", 30, 36],
        ["a body without chunks", 8_192, 8_192],
        ["chunks with an extension as long as they are", 100, 199],
    ])("does not limit the length of sound answers: %s", (_name, bodyBytes, inputBytes) => {
        const limits = new AnswerLimits();
        expect(limits.recordInput(200)).toBeUndefined();
        limits.recordHead();
        let reason: string | undefined;
        for (let count = 0; count < 1_000_000 && reason === undefined; count += 1) {
            reason = limits.recordInput(inputBytes) ?? limits.recordPart(bodyBytes);
        }
        expect(reason).toBeUndefined();
    });
});
