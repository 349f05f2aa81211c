import { parseDeclaration } from "./parseDeclaration";

const latency = { firstTokenMs: 1_100, betweenTokensMs: 40, wholeMs: 60_000 };
const valid = {
    classes: [{ name: "drafting", latency, durability: "survives-reclaim" }],
    services: [{ name: "bhatti-llm", kind: "model", checksFencing: true, defaultClass: "drafting" }],
    clientAccounts: [{ id: "vatva", keyHashes: ["0".repeat(64)], services: ["bhatti-llm"] }],
};

describe("parseDeclaration", () => {
    it("accepts a valid declaration", () => {
        expect(parseDeclaration(valid).isRight()).toBe(true);
    });

    it("refuses an unknown field and reports its path", () => {
        const document = { ...valid, services: [{ ...valid.services[0], weight: 3 }] };
        expect(parseDeclaration(document).swap().unsafeCoerce().message).toContain("services[0].weight");
    });

    it("refuses a reference to an undeclared work class", () => {
        const document = { ...valid, services: [{ ...valid.services[0], defaultClass: "nope" }] };
        expect(parseDeclaration(document).swap().unsafeCoerce().message).toContain(
            "services[0].defaultClass",
        );
    });

    it("refuses duplicate names", () => {
        const document = { ...valid, classes: [valid.classes[0], valid.classes[0]] };
        expect(parseDeclaration(document).swap().unsafeCoerce().message).toContain("classes[1].name");
    });
});
