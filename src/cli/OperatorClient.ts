import { request } from "undici";
import { readAnswer } from "../http/readAnswer";
import type { FailureBody } from "../results/formatFailure";
import { CliError } from "./CliError";
import { exitCodes } from "./exitCodes";
import type { OperatorCommandOptions } from "./types";

const entryVariableName = "SEQUOIAGRADE_ENTRY";
const tokenVariableName = "SEQUOIAGRADE_TOKEN";
const timeoutMs = 15_000; // of each part of an answer
const wholeTimeoutMs = 60_000;
const maxAnswerBytes = 67_108_864; // 64 MiB, 1 MiB (the largest message of a node to another) of 64 nodes

/** Client of a node's operator API. */
export class OperatorClient {
    private readonly entry: string;
    private readonly token: string;

    /**
     * Creates a client. The environment variables SEQUOIAGRADE_ENTRY and SEQUOIAGRADE_TOKEN replace missing options.
     *
     * @param options - base URL of the node and operator token
     * @param environment - environment variables; default: those of the process
     * @throws CliError if the URL or the token is given in neither way
     */
    constructor(options: OperatorCommandOptions, environment: NodeJS.ProcessEnv = process.env) {
        this.entry = readConnectionValue(
            options.entry,
            environment[entryVariableName],
            "--entry",
            entryVariableName,
        );
        this.token = readConnectionValue(
            options.token,
            environment[tokenVariableName],
            "--token",
            tokenVariableName,
        );
    }

    /**
     * Reads a resource.
     *
     * @param path - path below `/v1/operators/`
     * @returns the parsed answer
     * @throws CliError if the node refuses the request or does not answer
     */
    get(path: string): Promise<unknown> {
        return this.send("GET", path);
    }

    /**
     * Sends a change.
     *
     * @param path - path below `/v1/operators/`
     * @param body - serialised as JSON
     * @returns the parsed answer
     * @throws CliError if the node refuses the change or does not answer; its exit code tells whether the outcome is known
     */
    post(path: string, body: unknown): Promise<unknown> {
        return this.send("POST", path, body);
    }

    private async send(method: "GET" | "POST", path: string, body?: unknown): Promise<unknown> {
        const answer = await this.exchange(method, path, body);
        if (answer.status === 200) {
            return answer.body;
        }
        const { error } = answer.body as FailureBody;
        const exitCode = error?.run === "unknown" ? exitCodes.unknown : exitCodes.refused;
        throw new CliError(
            exitCode,
            error
                ? `${error.name} (${error.code}): ${error.message}`
                : `unexpected HTTP status ${answer.status}`,
        );
    }

    private async exchange(
        method: "GET" | "POST",
        path: string,
        body: unknown,
    ): Promise<{ status: number; body: unknown; }> {
        try {
            const answer = await request(`${this.entry}/v1/operators/${path}`, {
                method,
                headers: { authorization: `Bearer ${this.token}` },
                body: body === undefined ? undefined : JSON.stringify(body),
                headersTimeout: timeoutMs,
                bodyTimeout: timeoutMs,
                signal: AbortSignal.timeout(wholeTimeoutMs),
            });
            const bytes = await readAnswer({ body: answer.body, maxBytes: maxAnswerBytes });
            return { status: answer.statusCode, body: JSON.parse(bytes.toString("utf8")) };
        }
        catch (error) {
            const code = (error as { code?: string; }).code ?? "";
            // A change has an unknown outcome unless the connection was refused, because it may have been sent.
            const exitCode = method === "POST" && code !== "ECONNREFUSED"
                ? exitCodes.unknown
                : exitCodes.unreachable;
            throw new CliError(exitCode, `node ${this.entry} did not answer: ${(error as Error).message}`);
        }
    }
}

/** Takes the command-line option, or else the environment variable. */
const readConnectionValue = (
    optionValue: string | undefined,
    variableValue: string | undefined,
    optionName: string,
    variableName: string,
): string => {
    const value = optionValue ?? variableValue;
    if (!value) {
        throw new CliError(exitCodes.usage, `missing ${optionName}: pass this option or set ${variableName}`);
    }
    return value;
};
