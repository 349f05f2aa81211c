import { readFileSync } from "node:fs";
import { parseJson } from "../_lib/parseJson";
import { CliError } from "./CliError";
import { exitCodes } from "./exitCodes";

/**
 * Reads a text file.
 *
 * @param path - the file
 * @returns its text
 * @throws CliError when it cannot be read
 */
export const readTextFile = (path: string): string => {
    try {
        return readFileSync(path, "utf8");
    }
    catch (error) {
        throw new CliError(exitCodes.usage, `file "${path}" cannot be read: ${(error as Error).message}`);
    }
};

/**
 * Reads a JSON file.
 *
 * @param path - the file
 * @returns the parsed document
 * @throws CliError when it cannot be read or is not JSON
 */
export const readJsonFile = (path: string): unknown =>
    parseJson(readTextFile(path))
        .ifLeft(failure => {
            throw new CliError(exitCodes.usage, `file "${path}": ${failure.message}`);
        })
        .unsafeCoerce();
