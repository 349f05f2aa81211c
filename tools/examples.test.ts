import { readFileSync } from "node:fs";
import { join } from "node:path";
import { parseDeclaration } from "../src/declaration/parseDeclaration";
import { parseSettings } from "../src/settings/parseSettings";

const readExample = (name: string): string => readFileSync(join(__dirname, "..", "examples", name), "utf8");

describe("examples", () => {
    it("are valid", () => {
        expect(parseSettings(readExample("node.json")).isRight()).toBe(true);
        expect(parseDeclaration(JSON.parse(readExample("declaration.json"))).isRight()).toBe(true);
    });
});
