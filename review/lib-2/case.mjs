/** Frame of a case: its record, its exit code, and the end of all that it has started. */
import { writeFileSync } from "node:fs";
import { join } from "node:path";

const maxCaseMs = 115_000;

/** Whether the case plays its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** Lines of `record.txt`, with the time since the start of the case. */
export class CaseRecord {
    #startMs = performance.now();
    #lines = [];

    constructor(folder) {
        this.file = join(folder, "record.txt");
    }

    /** Time since the start, in milliseconds. */
    get nowMs() {
        return Math.round(performance.now() - this.#startMs);
    }

    add(text) {
        this.#lines.push(`${String(this.nowMs).padStart(7)} ${text}`);
    }

    /** Adds a line that is also printed. */
    report(text) {
        this.add(text);
        process.stdout.write(`${text}\n`);
    }

    write() {
        writeFileSync(this.file, `${this.#lines.join("\n")}\n`);
    }
}

/**
 * Runs a case, and ends the process with its result: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param folder - folder of the case
 * @param deployment - what is ended afterwards
 * @param play - plays the case; resolves with whether the rule held
 */
export const runCase = async (folder, deployment, play) => {
    const record = new CaseRecord(folder);
    let isEnding = false;
    const end = async code => {
        if (isEnding) {
            return;
        }
        isEnding = true;
        await deployment.stop();
        record.write();
        process.exit(code);
    };
    const fail = error => {
        if (!isEnding) {
            record.report(`could not run: ${error?.stack ?? error}`);
            void end(2);
        }
    };
    process.on("uncaughtException", fail);
    process.once("SIGTERM", () => fail("stopped"));
    process.once("SIGINT", () => fail("stopped"));
    setTimeout(() => fail(`not finished after ${maxCaseMs} ms`), maxCaseMs).unref();
    try {
        record.report(`disruption: ${hasTrouble ? "yes" : "no"}`);
        const holds = await play(record);
        if (!isEnding) {
            record.report(holds ? "the rule held" : "the rule was broken");
            await end(holds ? 0 : 1);
        }
    }
    catch (error) {
        fail(error);
    }
};
