import type { SchemaProblem } from "./parseWithSchema";

/**
 * Joins schema problems into one line for an error message, separated by semicolons.
 *
 * @param problems - the problems
 * @returns such as `name: Required; port: Expected number, received string`
 */
export const formatSchemaProblems = (problems: readonly SchemaProblem[]): string =>
    problems.map(problem => `${problem.path}: ${problem.expected}`).join("; ");
