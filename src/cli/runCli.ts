import { cac } from "cac";
import { CliError } from "./CliError";
import { exitCodes } from "./exitCodes";
import { type ConfigurationOptions, runConfiguration } from "./runConfiguration";
import { loadSettings, runNode } from "./runNode";
import { runReport, runStatus, runTimeline, type TimelineOptions } from "./runOperatorRead";
import type { CliOutput, OperatorCommandOptions } from "./types";

const version = "0.1.0";

/**
 * Runs one command line.
 *
 * @param argv - as in `process.argv`
 * @param output - where to print
 * @returns the exit code; see docs/OPERATING.md
 */
export const runCli = async (argv: readonly string[], output: CliOutput): Promise<number> => {
    const cli = createCli(output);
    try {
        cli.parse([...argv], { run: false });
        if (cli.options.help || cli.options.version) {
            return exitCodes.ok;
        }
        if (!cli.matchedCommand) {
            const given = cli.args[0];
            throw new CliError(
                exitCodes.usage,
                given ? `command "${given}" does not exist` : "give a command; see --help",
            );
        }
        return await cli.runMatchedCommand() as number;
    }
    catch (error) {
        return reportError(error as Error, output);
    }
};

const createCli = (output: CliOutput): ReturnType<typeof cac> => {
    const cli = cac("sequoiagrade");
    cli.command("node", "Run a node")
        .option("--settings <file>", "Settings file")
        .example("sequoiagrade node --settings entry-1.json")
        .action((options: { settings?: string; }) => {
            if (!options.settings) {
                throw new CliError(exitCodes.usage, "give the settings with --settings FILE");
            }
            return runNode(options.settings, output);
        });
    cli.command("check-settings <file>", "Check a settings file")
        .option("--json", "Print JSON")
        .example("sequoiagrade check-settings entry-1.json")
        .action((file: string, options: { json?: boolean; }) => {
            const settings = loadSettings(file);
            output.print(
                options.json
                    ? JSON.stringify({ valid: true, node: settings.nodeId })
                    : `valid settings of node "${settings.nodeId}"`,
            );
            return exitCodes.ok;
        });
    addConnection(cli.command("configuration <action>", "get, diff, apply, history, status or change"))
        .option("-f, --file <file>", "Declaration file")
        .option("--expect <revision>", "Revision that the change is based on")
        .option("--dry-run", "Check only")
        .option("--change-id <id>", "Name of the change")
        .option("--limit <count>", "Most entries of the history")
        .example("sequoiagrade configuration apply -f shops.json --expect 12")
        .action((action: string, options: ConfigurationOptions) => runConfiguration(action, options, output));
    addConnection(cli.command("status", "Show members and runners"))
        .example("sequoiagrade status --entry http://10.0.0.5:8080")
        .action((options: OperatorCommandOptions) => runStatus(options, output));
    addConnection(cli.command("report", "Show what was accepted, answered and is overdue"))
        .example("sequoiagrade report --json")
        .action((options: OperatorCommandOptions) => runReport(options, output));
    addConnection(cli.command("timeline", "Show events of all nodes in order"))
        .option("--request <id>", "Events of one request")
        .option("--change <id>", "Events of one configuration change")
        .option("--since <ms>", "From this wall-clock time, in milliseconds")
        .option("--until <ms>", "Up to this wall-clock time, in milliseconds")
        .example("sequoiagrade timeline --request entry-a.f12f2cec")
        .action((options: TimelineOptions) => runTimeline(options, output));
    cli.help();
    cli.version(version);
    return cli;
};

const addConnection = (command: ReturnType<ReturnType<typeof cac>["command"]>): typeof command =>
    command
        .option("--entry <url>", "Any node; default $SEQUOIAGRADE_ENTRY")
        .option("--token <token>", "Operator's token; default $SEQUOIAGRADE_TOKEN")
        .option("--json", "Print JSON");

const reportError = (error: Error, output: CliOutput): number => {
    if (error instanceof CliError) {
        output.printError(error.message);
        return error.exitCode;
    }
    output.printError(error.message);
    return error.name === "CACError" ? exitCodes.usage : exitCodes.internal;
};
