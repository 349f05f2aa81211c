import { isSameProof } from "./isSameProof";

describe("isSameProof", () => {
    it("accepts the expected proof alone", () => {
        expect(isSameProof("0a1b", "0a1b")).toBe(true);
        ["0a1c", "0a1", "0a1b0", "0a1b ", ""].forEach(received =>
            expect(isSameProof("0a1b", received)).toBe(false)
        );
    });

    it("rejects text of as many characters that take more bytes", () => {
        expect(isSameProof("0a1b", "é".repeat(4))).toBe(false);
        expect(isSameProof("0a1b", "é".repeat(2))).toBe(false);
    });
});
