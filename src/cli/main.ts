#!/usr/bin/env node
import { runCli } from "./runCli";

runCli(process.argv, {
    print: text => process.stdout.write(`${text}\n`),
    printError: text => process.stderr.write(`${text}\n`),
}).then(
    exitCode => {
        process.exitCode = exitCode;
    },
    (error: unknown) => {
        process.stderr.write(`${String(error)}\n`);
        process.exitCode = 1;
    },
);
