import { z } from "zod";

/**
 * Creates the schema of an array that reports the problems of its first element that has any. A long array of invalid
 * elements would otherwise take many times its own memory for its problems.
 *
 * @param elementSchema - schema of each element
 * @param minLength - least number of elements; default 0
 * @returns the schema
 */
export const createArraySchema = <S extends z.ZodTypeAny>(
    elementSchema: S,
    minLength = 0,
): z.ZodType<z.output<S>[], z.ZodTypeDef, unknown> =>
    z.array(z.unknown()).min(minLength).transform((elements, context) => {
        const parsed: z.output<S>[] = [];
        for (const [index, element] of elements.entries()) {
            const result = elementSchema.safeParse(element);
            if (!result.success) {
                result.error.issues.forEach(issue =>
                    context.addIssue({ ...issue, path: [index, ...issue.path] })
                );
                return z.NEVER;
            }
            parsed.push(result.data as z.output<S>);
        }
        return parsed;
    });
