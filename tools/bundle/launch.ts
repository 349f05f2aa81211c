import { readFileSync, writeFileSync } from "node:fs";
import { createRequire, wrap } from "node:module";
import { dirname, join } from "node:path";
import { Script } from "node:vm";

// Runs the bundled program with a V8 code cache written at build time, which saves compilation at each start.
// V8 rejects a code cache that was written by another version or with other command-line flags.
// If WRITE_CODE_CACHE is set, the code cache is written when the process exits.

const programFile = join(__dirname, "sequoiagrade.js");
const cacheFile = `${programFile}.cache`;

/** Reads the code cache, if there is one. Without it the program runs too, but has to be compiled first. */
const readCache = (): Buffer | undefined => {
    try {
        return readFileSync(cacheFile);
    }
    catch {
        return undefined;
    }
};

const script = new Script(wrap(readFileSync(programFile, "utf8")), {
    filename: programFile,
    cachedData: readCache(),
});
if (process.env.WRITE_CODE_CACHE !== undefined) {
    process.on("exit", () => writeFileSync(cacheFile, script.createCachedData()));
}
const main = { exports: {} };
script.runInThisContext().call(
    main.exports,
    main.exports,
    createRequire(programFile),
    main,
    programFile,
    dirname(programFile),
);
