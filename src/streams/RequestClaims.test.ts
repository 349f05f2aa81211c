import { RequestClaims } from "./RequestClaims";

describe("claims of requests", () => {
    it("last until the last one of a request is released", () => {
        const claims = new RequestClaims();
        const releases = [claims.add("a"), claims.add("a")];
        claims.add("b")();
        expect([claims.has("a"), claims.has("b")]).toEqual([true, false]);
        releases[0]();
        expect(claims.has("a")).toBe(true);
        releases[1]();
        expect(claims.has("a")).toBe(false);
    });
});
