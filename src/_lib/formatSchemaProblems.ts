import type { SchemaProblem } from "./parseWithSchema";

/**
 * Formats schema problems for a message, one a clause.
 *
 * @param problems - the problems
 * @returns the joined text
 */
export const formatSchemaProblems = (problems: readonly SchemaProblem[]): string =>
    problems.map(problem => `${problem.path}: ${problem.expected}`).join("; ");
