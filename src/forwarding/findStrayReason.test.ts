import { findStrayReason } from "./findStrayReason";

const request = { requestId: "r-1" };

describe("findStrayReason", () => {
    it("finds none where the answer carries the id of the request", () => {
        expect(findStrayReason({ requestId: "r-1", isNotRun: false }, request)).toBeUndefined();
        expect(findStrayReason({ requestId: "r-1", isNotRun: true }, request)).toBeUndefined();
    });

    it("finds one where the answer carries another id", () => {
        expect(findStrayReason({ requestId: "r-2", isNotRun: false }, request)).toContain("another request");
        expect(findStrayReason({ requestId: "r-2", isNotRun: true }, request)).toContain("another request");
    });

    it("finds one where a refusal carries no id, also if the request has none", () => {
        const refusal = { requestId: undefined, isNotRun: true };
        expect(findStrayReason(refusal, request)).toContain("no id");
        expect(findStrayReason(refusal, { requestId: undefined })).toContain("no id");
    });
});
