import { request } from "undici";
import type { FailureBody } from "../results/formatFailure";
import { CliError } from "./CliError";
import { exitCodes } from "./exitCodes";
import type { OperatorCommandOptions } from "./types";

const entryVariable = "SEQUOIAGRADE_ENTRY";
const tokenVariable = "SEQUOIAGRADE_TOKEN";
const timeoutMs = 15_000;

/** Calls a node's operator interface. */
export class OperatorClient {
    private readonly entry: string;
    private readonly token: string;

    /**
     * @param options - entry and token; the environment variables SEQUOIAGRADE_ENTRY and SEQUOIAGRADE_TOKEN
     * stand in for missing ones
     * @throws CliError when neither gives them
     */
    constructor(options: OperatorCommandOptions, environment: NodeJS.ProcessEnv = process.env) {
        this.entry = pickValue(options.entry, environment[entryVariable], "--entry", entryVariable);
        this.token = pickValue(options.token, environment[tokenVariable], "--token", tokenVariable);
    }

    /** Reads a resource. */
    get(path: string): Promise<unknown> {
        return this.send("GET", path);
    }

    /** Sends a change. */
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
            error ? `${error.name} (${error.code}): ${error.message}` : `status ${answer.status}`,
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
            });
            return { status: answer.statusCode, body: await answer.body.json() };
        }
        catch (error) {
            const code = (error as { code?: string; }).code ?? "";
            const exitCode = method === "POST" && code !== "ECONNREFUSED"
                ? exitCodes.unknown
                : exitCodes.unreachable;
            throw new CliError(exitCode, `node ${this.entry} did not answer: ${(error as Error).message}`);
        }
    }
}

const pickValue = (
    option: string | undefined,
    variable: string | undefined,
    optionName: string,
    variableName: string,
): string => {
    const value = option ?? variable;
    if (!value) {
        throw new CliError(exitCodes.usage, `give ${optionName} or set ${variableName}`);
    }
    return value;
};
