import { Either } from "purify-ts";
import { formatSchemaProblems } from "../_lib/formatSchemaProblems";
import { parseJson } from "../_lib/parseJson";
import { parseWithSchema } from "../_lib/parseWithSchema";
import { createFailure } from "../results/createFailure";
import { resultCodes } from "../results/resultCodes";
import type { Failure } from "../results/types";
import { type Settings, settingsSchema } from "./settingsSchema";

/**
 * Parses and validates the text of a settings file, and reports all problems together.
 *
 * @param text - JSON text
 * @returns the settings with defaults, or a failure that lists every problem with its path
 * @example
 * parseSettings(readFileSync("node.json", "utf8")).map(settings => settings.nodeId);
 */
export const parseSettings = (text: string): Either<Failure, Settings> =>
    parseJson(text).chain(document =>
        parseWithSchema(settingsSchema, document).mapLeft(problems =>
            createFailure(resultCodes.invalidSettings, formatSchemaProblems(problems))
        )
    );
