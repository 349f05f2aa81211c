import type { SchemaProblem } from "./parseWithSchema";

const maxListed = 20; // a document may have hundreds of thousands of problems

/**
 * Joins schema problems into one line for an error message, separated by semicolons.
 *
 * @param problems - the problems
 * @returns such as `name: Required; port: Expected number, received string`; the first ones, and how many there are more
 */
export const formatSchemaProblems = (problems: readonly SchemaProblem[]): string => {
    const listed = problems.slice(0, maxListed).map(problem => `${problem.path}: ${problem.expected}`);
    const more = problems.length > maxListed ? [`and ${problems.length - maxListed} more`] : [];
    return [...listed, ...more].join("; ");
};
