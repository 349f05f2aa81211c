import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { listFunctionNames } from "./listFunctionNames";

const root = join(__dirname, "..");
const folders: readonly string[] = ["src", "platform", "standins", "bench", "soak", "demo", "tools"];

const listSources = (): string[] =>
    folders.flatMap(folder =>
        readdirSync(join(root, folder), { recursive: true, encoding: "utf8" })
            .filter(file => file.endsWith(".ts") && !file.endsWith(".test.ts"))
            .map(file => join(root, folder, file))
    );

describe("names of functions", () => {
    it("begin with a verb of docs/VERBS.md", () => {
        const text = readFileSync(join(root, "docs", "VERBS.md"), "utf8");
        const verbs = new Set([...text.matchAll(/`([a-z]+)`/g)].map(match => match[1]));
        const violations = listSources()
            .flatMap(listFunctionNames)
            .filter(found => !verbs.has(/^[a-z]+/.exec(found.name)?.[0] ?? ""))
            .map(found => `${found.name} (${found.file}:${found.line})`);
        expect(violations).toEqual([]);
    });
});
