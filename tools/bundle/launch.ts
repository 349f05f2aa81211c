import { readFileSync, writeFileSync } from "node:fs";
import { createRequire, wrap } from "node:module";
import { dirname, join } from "node:path";
import { Script } from "node:vm";

// Runs the bundled program with its compiled code from the build, which saves the compiler's work at each start.
// The engine drops code that was compiled by another version or under other flags of the command line.
// With WRITE_CODE_CACHE set, the compiled code is written at the end of the run.

const program = join(__dirname, "sequoiagrade.js");
const cacheFile = `${program}.cache`;

/** Compiled code that is missing, or is another version's, only costs the time to compile. */
const readCache = (): Buffer | undefined => {
    try {
        return readFileSync(cacheFile);
    }
    catch {
        return undefined;
    }
};

const script = new Script(wrap(readFileSync(program, "utf8")), {
    filename: program,
    cachedData: readCache(),
});
if (process.env.WRITE_CODE_CACHE !== undefined) {
    process.on("exit", () => writeFileSync(cacheFile, script.createCachedData()));
}
const main = { exports: {} };
script.runInThisContext().call(
    main.exports,
    main.exports,
    createRequire(program),
    main,
    program,
    dirname(program),
);
