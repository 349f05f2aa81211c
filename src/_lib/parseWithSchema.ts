import { Either, Left, Right } from "purify-ts";
import type { z } from "zod";

/** One validation error. */
export interface SchemaProblem {
    /** Path of the field, such as `classes[0].latency.firstTokenMs`. */
    readonly path: string;
    /** Description of the valid value. */
    readonly expected: string;
}

/**
 * Validates a parsed JSON document against a schema.
 *
 * @param schema - the schema; its objects should be strict, otherwise unknown fields are not reported
 * @param document - the parsed document
 * @returns the typed document, or all validation errors
 */
export const parseWithSchema = <S extends z.ZodTypeAny>(
    schema: S,
    document: unknown,
): Either<readonly SchemaProblem[], z.output<S>> => {
    const result = schema.safeParse(document);
    if (result.success) {
        return Right(result.data);
    }
    return Left(result.error.issues.map(toProblem));
};

const toProblem = (issue: z.ZodIssue): SchemaProblem => {
    if (issue.code === "unrecognized_keys") {
        const names = issue.keys.map(key => `"${key}"`).join(", ");
        return {
            path: formatPath([...issue.path, issue.keys[0]]),
            expected: `no unknown field, got ${names}`,
        };
    }
    return { path: formatPath(issue.path), expected: issue.message };
};

const formatPath = (path: readonly (string | number)[]): string => {
    const text = path.reduce<string>((joined, part) => {
        if (typeof part === "number") {
            return `${joined}[${part}]`;
        }
        return joined === "" ? part : `${joined}.${part}`;
    }, "");
    return text === "" ? "(document)" : text;
};
