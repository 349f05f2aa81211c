import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { LogWriter } from "./LogWriter";

describe("LogWriter", () => {
    let folder: string;
    let descriptor: number;

    beforeEach(() => {
        folder = mkdtempSync(join(tmpdir(), "log-"));
        descriptor = openSync(join(folder, "log"), "w");
    });

    afterEach(() => {
        closeSync(descriptor);
        rmSync(folder, { recursive: true });
    });

    const readLines = (): string[] => readFileSync(join(folder, "log"), "utf8").split("\n").slice(0, -1);

    it("writes the lines in order when flushed", async () => {
        const writer = new LogWriter({ descriptor });
        ["a", "b", "c"].forEach(line => writer.write(line));
        await writer.flush();
        expect(readLines()).toEqual(["a", "b", "c"]);
    });

    it("drops and counts lines above the rate limit, and accepts lines again after a flush", async () => {
        const writer = new LogWriter({ descriptor, maxLinesPerS: 10 });
        Array.from({ length: 25 }).forEach((_unused, index) => writer.write(String(index)));
        await writer.flush();
        expect(readLines()).toHaveLength(11);
        expect(JSON.parse(readLines()[10])).toEqual({ name: "log-lines-dropped", count: 15 });
        writer.write("later");
        await writer.flush();
        expect(readLines().at(-1)).toBe("later");
    });

    it("drops and counts lines that do not fit the buffer", async () => {
        const writer = new LogWriter({ descriptor, maxBufferedBytes: 10 });
        writer.write("12345");
        writer.write("123456");
        await writer.flush();
        expect(readLines()[0]).toBe("12345");
        expect(JSON.parse(readLines()[1]).count).toBe(1);
    });
});
