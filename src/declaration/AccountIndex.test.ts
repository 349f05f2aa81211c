import { hashText } from "../_lib/hashText";
import { AccountIndex } from "./AccountIndex";

describe("AccountIndex", () => {
    const index = new AccountIndex([
        { id: "a", keyHashes: [hashText("key-1"), hashText("key-2")], services: ["s"] },
        { id: "b", keyHashes: [hashText("key-3")], services: ["s"] },
    ]);

    it("finds accounts by any of their keys", () => {
        expect(["key-1", "key-2", "key-3"].map(key => index.find(key)?.id)).toEqual(["a", "a", "b"]);
    });

    it("finds no account for unknown keys, or for a hash used as a key", () => {
        expect(index.find("key-4")).toBeUndefined();
        expect(index.find("")).toBeUndefined();
        expect(index.find(hashText("key-1"))).toBeUndefined();
    });
});
