/** Shapes of the command line. */

/** Where a command prints. */
export interface CliOutput {
    print(text: string): void;
    printError(text: string): void;
}

/** Options that every operator's command takes. */
export interface OperatorCommandOptions {
    /** Base URL of any node. */
    readonly entry?: string;
    readonly token?: string;
    readonly json?: boolean;
}
