import { readFileSync } from "node:fs";
import { join } from "node:path";
import { resultCodes } from "../src/results/resultCodes";
import { eventKinds } from "../src/telemetry/eventKinds";
import { createCatalogues } from "./createCatalogues";

describe("catalogues", () => {
    it.each(createCatalogues().map(({ file, text }) => [file, text]))(
        "docs/%s is up to date",
        (file, text) => {
            expect(readFileSync(join(__dirname, "..", "docs", file), "utf8")).toBe(text);
        },
    );

    it("uses each number and name once", () => {
        const codes = Object.values(resultCodes);
        const events = Object.values(eventKinds);
        expect(new Set(codes.map(code => code.code)).size).toBe(codes.length);
        expect(new Set(codes.map(code => code.name)).size).toBe(codes.length);
        expect(new Set(events.map(event => event.number)).size).toBe(events.length);
        expect(new Set(events.map(event => event.name)).size).toBe(events.length);
    });
});
