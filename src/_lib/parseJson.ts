import { Either } from "purify-ts";
import { createFailure } from "../results/createFailure";
import { resultCodes } from "../results/resultCodes";
import type { Failure } from "../results/types";

/**
 * Parses JSON text.
 *
 * @param text - the text
 * @returns the document, or a `bad-json` failure with the parser's message
 */
export const parseJson = (text: string): Either<Failure, unknown> =>
    Either.encase(() => JSON.parse(text) as unknown).mapLeft(error =>
        createFailure(resultCodes.badJson, `not valid JSON: ${error.message}`)
    );
