import { Either } from "purify-ts";
import { formatSchemaProblems } from "../_lib/formatSchemaProblems";
import { parseWithSchema } from "../_lib/parseWithSchema";
import { createFailure } from "../results/createFailure";
import { resultCodes } from "../results/resultCodes";
import type { Failure } from "../results/types";
import { type Declaration, declarationSchema } from "./declarationSchema";

/**
 * Validates a declaration and reports all problems together.
 *
 * @param document - the parsed JSON document
 * @returns the declaration with defaults, or a failure that lists every problem with its path
 */
export const parseDeclaration = (document: unknown): Either<Failure, Declaration> =>
    parseWithSchema(declarationSchema, document).mapLeft(problems =>
        createFailure(resultCodes.invalidDeclaration, formatSchemaProblems(problems))
    );
