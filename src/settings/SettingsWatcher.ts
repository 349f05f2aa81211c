import { readFileSync, statSync } from "node:fs";
import type { Either } from "purify-ts";
import type { Failure } from "../results/types";

/** Options of {@link SettingsWatcher}. */
export interface SettingsWatcherOptions<T> {
    readonly file: string;
    /** Reads settings out of the text of the file, or tells what is wrong with it. */
    readonly parse: (text: string) => Either<Failure, T>;
    readonly onChanged: (settings: T) => void;
    readonly onRejected: (failure: Failure) => void;
    /** Time between two looks at the file, in milliseconds; default 1,000. */
    readonly pollMs?: number;
}

const defaultPollMs = 1_000;

/** Reads the settings file again when it changes, with or without a signal. */
export class SettingsWatcher<T> {
    private text: string;
    private modifiedMs: number;
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: SettingsWatcherOptions<T>) {
        this.modifiedMs = this.readModifiedMs();
        this.text = readFileSync(options.file, "utf8");
    }

    start(): void {
        this.timer = setInterval(() => {
            if (this.readModifiedMs() !== this.modifiedMs) {
                this.reloadIfChanged();
            }
        }, this.options.pollMs ?? defaultPollMs).unref();
    }

    stop(): void {
        clearInterval(this.timer);
    }

    /** Reads the file now; a file that has not changed does nothing. */
    reloadIfChanged(): void {
        this.modifiedMs = this.readModifiedMs();
        const text = readFileSync(this.options.file, "utf8");
        if (text === this.text) {
            return;
        }
        this.text = text;
        this.options.parse(text).ifLeft(this.options.onRejected).ifRight(this.options.onChanged);
    }

    /** Time of the last change; 0 while the file is being replaced. */
    private readModifiedMs(): number {
        return statSync(this.options.file, { throwIfNoEntry: false })?.mtimeMs ?? 0;
    }
}
