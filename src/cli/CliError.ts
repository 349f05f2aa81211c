/** Ends a command with an exit code and a message. */
export class CliError extends Error {
    constructor(readonly exitCode: number, message: string) {
        super(message);
        this.name = "CliError";
    }
}
