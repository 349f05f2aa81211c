import { cac } from "cac";
import { CliError } from "./CliError";
import { exitCodes } from "./exitCodes";
import { type ConfigurationOptions, runConfiguration } from "./runConfiguration";
import { loadSettings, runNode } from "./runNode";
import { runReport, runStatus, runTimeline, type TimelineOptions } from "./runOperatorQueries";
import type { CliOutput, OperatorCommandOptions } from "./types";

const version = "0.1.0";

/**
 * Parses a command line and runs its command.
 *
 * @param argv - arguments, as in `process.argv`
 * @param output - receives what the command prints
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
                given ? `command "${given}" does not exist` : "missing command; see --help",
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
                throw new CliError(exitCodes.usage, "missing option --settings FILE");
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
    addOperatorOptions(
        cli.command(
            "configuration <action>",
            "Read, compare or apply the configuration: get, diff, apply, history, status or change",
        ),
    )
        .option("-f, --file <file>", "Declaration file")
        .option("--expect <revision>", "Revision that the change is based on")
        .option("--dry-run", "Validate the change without applying it")
        .option("--change-id <id>", "Id of the change")
        .option("--limit <count>", "Maximum number of history entries")
        .example("sequoiagrade configuration apply -f shops.json --expect 12")
        .action((action: string, options: ConfigurationOptions) => runConfiguration(action, options, output));
    addOperatorOptions(cli.command("status", "Show members and runners"))
        .example("sequoiagrade status --entry http://10.0.0.5:8080")
        .action((options: OperatorCommandOptions) => runStatus(options, output));
    addOperatorOptions(cli.command("report", "Show request counts and overdue requests"))
        .example("sequoiagrade report --json")
        .action((options: OperatorCommandOptions) => runReport(options, output));
    addOperatorOptions(cli.command("timeline", "Show the events of all nodes in order of time"))
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

/** Adds the options of {@link OperatorCommandOptions} to a command. */
const addOperatorOptions = (command: ReturnType<ReturnType<typeof cac>["command"]>): typeof command =>
    command
        .option("--entry <url>", "Base URL of any node; default $SEQUOIAGRADE_ENTRY")
        .option("--token <token>", "Operator token; default $SEQUOIAGRADE_TOKEN")
        .option("--json", "Print JSON");

const reportError = (error: Error, output: CliOutput): number => {
    if (error instanceof CliError) {
        output.printError(error.message);
        return error.exitCode;
    }
    output.printError(error.message);
    return error.name === "CACError" ? exitCodes.usage : exitCodes.internal;
};
