import { resultCodes } from "../src/results/resultCodes";
import { eventKinds } from "../src/telemetry/eventKinds";

/** A generated page in docs/. */
export interface Catalogue {
    readonly file: string;
    readonly text: string;
}

/**
 * Creates the pages of docs/ that list all result codes and events.
 *
 * @returns the pages, with file names relative to docs/
 */
export const createCatalogues = (): Catalogue[] => [
    { file: "RESULT-CODES.md", text: createResultCodePage() },
    { file: "EVENTS.md", text: createEventPage() },
];

const createResultCodePage = (): string => {
    const rows = Object.values(resultCodes)
        .map(code => `| ${code.code} | ${code.name} | ${code.status} | ${code.run} | ${code.meaning} |`);
    return [
        "# Result codes",
        "",
        "Written by `npm run docs` from `src/results/resultCodes.ts`. Numbers and names never change meaning.",
        "A refusal's body is `{\"error\":{\"code\",\"name\",\"message\",\"run\"}}`. `run` tells what is known of the work:",
        "`not-run` it has not run and will not; `done` it has run; `in-progress` it is running; `unknown` it may have",
        "run. One answer may carry another `run` than the table's where more is known.",
        "",
        "| code | name | HTTP status | run | meaning |",
        "|---|---|---|---|---|",
        ...rows,
        "",
    ].join("\n");
};

const createEventPage = (): string => {
    const rows = Object.values(eventKinds)
        .map(kind => `| ${kind.number} | ${kind.name} | ${kind.level} | ${kind.meaning} |`);
    return [
        "# Events",
        "",
        "Written by `npm run docs` from `src/telemetry/eventKinds.ts`. Numbers and names never change meaning.",
        "A log line is one JSON object: `event` (number), `name`, `level`, `node`, `time` (`wallMs` in milliseconds and",
        "a `counter`, together a hybrid logical timestamp) and `fields`. `sequoiagrade timeline` merges the events of",
        "all nodes in the order of their timestamps.",
        "",
        "| number | name | level | meaning |",
        "|---|---|---|---|",
        ...rows,
        "",
    ].join("\n");
};
