import { readFileSync } from "node:fs";
import { parseJson } from "../_lib/parseJson";
import { CliError } from "./CliError";
import { exitCodes } from "./exitCodes";

/**
 * Reads a text file.
 *
 * @param path - path of the file
 * @returns the text, decoded as UTF-8
 * @throws CliError if the file cannot be read
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
 * @param path - path of the file
 * @returns the parsed document
 * @throws CliError if the file cannot be read or is not valid JSON
 */
export const readJsonFile = (path: string): unknown =>
    parseJson(readTextFile(path))
        .ifLeft(failure => {
            throw new CliError(exitCodes.usage, `file "${path}": ${failure.message}`);
        })
        .unsafeCoerce();
