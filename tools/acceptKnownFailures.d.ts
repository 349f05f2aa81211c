/** Verdict of a test run. */
export interface TestVerdict {
    readonly accepted: readonly string[];
    readonly unexpected: readonly string[];
    readonly outdated: readonly string[];
    readonly isPassed: boolean;
}

export const listKnownFailures: (text: string) => Set<string>;
export const judgeResults: (results: object, known: ReadonlySet<string>) => TestVerdict;
