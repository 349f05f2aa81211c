import { randomUUID } from "node:crypto";
import type { ActiveConfiguration, AppliedChange } from "../configuration/types";
import { parseDeclaration } from "../declaration/parseDeclaration";
import { formatIsoTime } from "../_lib/formatIsoTime";
import { CliError } from "./CliError";
import { type DeclarationDifference, listDeclarationDifferences } from "./listDeclarationDifferences";
import { exitCodes } from "./exitCodes";
import { formatTable } from "./formatTable";
import { OperatorClient } from "./OperatorClient";
import { readJsonFile } from "./readJsonFile";
import type { CliOutput, OperatorCommandOptions } from "./types";

/** Options of the command `configuration`. */
export interface ConfigurationOptions extends OperatorCommandOptions {
    /** Path of the declaration. */
    readonly file?: string;
    /** Revision that the change is based on. */
    readonly expect?: number;
    /** Validates the change without applying it. */
    readonly dryRun?: boolean;
    /** Identifies the change when its outcome is queried; default: a random UUID. */
    readonly changeId?: string;
    /** Maximum number of history entries; default 20. */
    readonly limit?: number;
}

/**
 * Runs `sequoiagrade configuration get|diff|apply|history|status|change`.
 *
 * @param action - one of the actions above
 * @param options - options of the command line
 * @param output - receives what the command prints
 * @returns the exit code
 * @throws CliError if an option is not valid, or the node refuses or does not answer
 */
export const runConfiguration = async (
    action: string,
    options: ConfigurationOptions,
    output: CliOutput,
): Promise<number> => {
    switch (action) {
        case "get":
            return printConfiguration(options, output);
        case "diff":
            return printDiff(options, output);
        case "apply":
            return applyFile(options, output);
        case "history":
            return printHistory(options, output);
        case "status":
            return printInForceStatus(options, output);
        case "change":
            return printChange(options, output);
    }
    throw new CliError(
        exitCodes.usage,
        `action "${action}" does not exist; use get, diff, apply, history, status or change`,
    );
};

const printConfiguration = async (options: ConfigurationOptions, output: CliOutput): Promise<number> => {
    const current = await new OperatorClient(options).get("configuration") as ActiveConfiguration;
    if (options.json) {
        output.print(JSON.stringify(current));
    }
    else {
        output.print(JSON.stringify(current.declaration ?? {}, undefined, 4));
        output.printError(`revision ${current.revision}`);
    }
    return exitCodes.ok;
};

const printDiff = async (options: ConfigurationOptions, output: CliOutput): Promise<number> => {
    const declaration = readDeclaration(options);
    const current = await new OperatorClient(options).get("configuration") as ActiveConfiguration;
    printDifferences(listDeclarationDifferences(current.declaration, declaration), options, output);
    return exitCodes.ok;
};

const applyFile = async (options: ConfigurationOptions, output: CliOutput): Promise<number> => {
    const declaration = readDeclaration(options);
    if (options.expect === undefined) {
        throw new CliError(
            exitCodes.usage,
            "missing option --expect: the revision that the change is based on",
        );
    }
    const changeId = options.changeId ?? randomUUID();
    const client = new OperatorClient(options);
    if (!options.json) {
        output.printError(`change id ${changeId}`);
    }
    const body = {
        expectRevision: Number(options.expect),
        changeId,
        declaration,
        dryRun: options.dryRun ?? false,
    };
    const applied = await client.post("configuration", body) as AppliedChange & { dryRun?: boolean; };
    if (options.json) {
        output.print(JSON.stringify(applied));
    }
    else if (applied.dryRun) {
        output.print(`valid; revision ${applied.revision} stays in force`);
    }
    else {
        output.print(
            `revision ${applied.revision} is in force on ${applied.inForce.length} nodes: ${
                applied.inForce.join(", ")
            }`,
        );
    }
    if (!applied.dryRun && applied.missing.length > 0) {
        output.printError(
            `not confirmed by: ${applied.missing.join(", ")}; check again with "configuration status"`,
        );
        return exitCodes.incomplete;
    }
    return exitCodes.ok;
};

const printHistory = async (options: ConfigurationOptions, output: CliOutput): Promise<number> => {
    const client = new OperatorClient(options);
    const { history } = await client.get(`configuration/history?limit=${options.limit ?? 20}`) as {
        history: ActiveConfiguration[];
    };
    if (options.json) {
        output.print(JSON.stringify({ history }));
        return exitCodes.ok;
    }
    const rows = history.map((entry, index) => [
        entry.revision,
        entry.changeId,
        formatIsoTime(entry.committedAtMs),
        index === 0
            ? "-"
            : listDeclarationDifferences(history[index - 1].declaration, entry.declaration).length,
    ]);
    output.print(formatTable(["revision", "change id", "committed at", "changed fields"], rows));
    return exitCodes.ok;
};

const printInForceStatus = async (options: ConfigurationOptions, output: CliOutput): Promise<number> => {
    const status = await new OperatorClient(options).get("configuration/status") as AppliedChange;
    output.print(
        options.json
            ? JSON.stringify(status)
            : `revision ${status.revision} is in force on ${status.inForce.length} nodes: ${
                status.inForce.join(", ")
            }`,
    );
    if (status.missing.length > 0) {
        output.printError(`not confirmed by: ${status.missing.join(", ")}`);
        return exitCodes.incomplete;
    }
    return exitCodes.ok;
};

const printChange = async (options: ConfigurationOptions, output: CliOutput): Promise<number> => {
    if (!options.changeId) {
        throw new CliError(exitCodes.usage, "missing option --change-id: the id of the change");
    }
    const change = await new OperatorClient(options).get(`configuration/changes/${options.changeId}`) as {
        state: string;
        revision?: number;
    };
    output.print(options.json ? JSON.stringify(change) : `${change.state} ${change.revision ?? ""}`.trim());
    return exitCodes.ok;
};

/** Reads and validates the declaration file before anything is sent to a node. */
const readDeclaration = (options: ConfigurationOptions): unknown => {
    if (!options.file) {
        throw new CliError(exitCodes.usage, "missing option -f FILE: the declaration");
    }
    const document = readJsonFile(options.file);
    parseDeclaration(document).ifLeft(failure => {
        throw new CliError(exitCodes.usage, `file "${options.file}": ${failure.message}`);
    });
    return document;
};

const printDifferences = (
    differences: readonly DeclarationDifference[],
    options: ConfigurationOptions,
    output: CliOutput,
): void => {
    if (options.json) {
        output.print(JSON.stringify({ differences }));
        return;
    }
    if (differences.length === 0) {
        output.print("no differences");
        return;
    }
    const rows = differences.map(difference => [
        difference.path,
        JSON.stringify(difference.before) ?? "-",
        JSON.stringify(difference.after) ?? "-",
    ]);
    output.print(formatTable(["field", "in force", "file"], rows));
};
