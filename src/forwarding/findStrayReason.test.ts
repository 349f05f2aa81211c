import { findStrayReason } from "./findStrayReason";

const request = { requestId: "r-1" };

describe("findStrayReason", () => {
    it("finds none where the answer carries the id of the request", () => {
        expect(findStrayReason({ requestId: "r-1" }, request)).toBeUndefined();
    });

    it("finds one where the answer carries another id", () => {
        expect(findStrayReason({ requestId: "r-2" }, request)).toContain("another request");
    });

    it("finds one where the answer carries no id, also if the request has none", () => {
        expect(findStrayReason({ requestId: undefined }, request)).toContain("no id");
        expect(findStrayReason({ requestId: undefined }, { requestId: undefined })).toContain("no id");
    });
});
