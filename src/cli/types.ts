/** Types of the command line. */

/** Output of a command. */
export interface CliOutput {
    /** Prints a part of the result, followed by a line end. */
    print(text: string): void;
    /** Prints an error or a note, followed by a line end, apart from the result. */
    printError(text: string): void;
}

/** Options of every command that calls the operator API. */
export interface OperatorCommandOptions {
    /** Base URL of any node. */
    readonly entry?: string;
    /** Operator token. */
    readonly token?: string;
    /** Prints JSON instead of text. */
    readonly json?: boolean;
}
