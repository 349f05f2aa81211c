/** Error that ends a command with an exit code and a message for the user. */
export class CliError extends Error {
    constructor(readonly exitCode: number, message: string) {
        super(message);
        this.name = "CliError";
    }
}
