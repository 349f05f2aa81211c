import loglevel, { type Logger } from "loglevel";
import { createHttpPlatform } from "../daemon/createHttpPlatform";
import { EntryNode } from "../daemon/EntryNode";
import { SystemClock } from "../kernel/SystemClock";
import { SystemRandom } from "../kernel/SystemRandom";
import { parseSettings } from "../settings/parseSettings";
import type { Settings } from "../settings/settingsSchema";
import { CliError } from "./CliError";
import { exitCodes } from "./exitCodes";
import { readTextFile } from "./readJsonFile";
import type { CliOutput } from "./types";

/**
 * Reads and validates a settings file.
 *
 * @param file - path of the file
 * @returns the settings
 * @throws CliError with all problems if the file cannot be read or is not valid
 */
export const loadSettings = (file: string): Settings =>
    parseSettings(readTextFile(file))
        .ifLeft(failure => {
            throw new CliError(exitCodes.usage, `file "${file}": ${failure.message}`);
        })
        .unsafeCoerce();

/**
 * Runs `sequoiagrade node` until SIGTERM or SIGINT, which start a graceful shutdown.
 *
 * @param file - path of the settings file
 * @param output - receives the node's id and the URLs that it listens on, as JSON
 * @returns the exit code
 */
export const runNode = async (file: string, output: CliOutput): Promise<number> => {
    const settings = loadSettings(file);
    const node = new EntryNode({
        settings,
        platform: createHttpPlatform(settings),
        clock: new SystemClock(),
        random: new SystemRandom(),
        logger: createLogger(settings),
    });
    const stopped = new Promise<void>(resolve => {
        process.once("SIGTERM", resolve);
        process.once("SIGINT", resolve);
    });
    await node.start();
    output.print(JSON.stringify({ node: settings.nodeId, callers: node.callersUrl, peers: node.peersUrl }));
    await stopped;
    await node.stop();
    return exitCodes.ok;
};

const createLogger = (settings: Settings): Logger => {
    const logger = loglevel.getLogger(settings.nodeId);
    logger.setLevel(settings.logLevel, false);
    return logger;
};
