import { readFileSync, statSync } from "node:fs";
import type { Either } from "purify-ts";
import type { Failure } from "../results/types";

/** Options of {@link SettingsWatcher}. */
export interface SettingsWatcherOptions<T> {
    readonly file: string;
    /** Parses the text of the file; returns a failure if it is invalid. */
    readonly parse: (text: string) => Either<Failure, T>;
    readonly onChanged: (settings: T) => void;
    readonly onRejected: (failure: Failure) => void;
    /** Polling interval, in milliseconds; default 1,000. */
    readonly pollMs?: number;
}

const defaultPollMs = 1_000;

/** Reloads the settings file when it changes: by polling, or on a call of {@link SettingsWatcher.reloadIfChanged}. */
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

    /** Reads the file and calls `onChanged` or `onRejected` if its text has changed. */
    reloadIfChanged(): void {
        this.modifiedMs = this.readModifiedMs();
        const text = readFileSync(this.options.file, "utf8");
        if (text === this.text) {
            return;
        }
        this.text = text;
        this.options.parse(text).ifLeft(this.options.onRejected).ifRight(this.options.onChanged);
    }

    /** Returns the modification time in milliseconds; 0 if the file is missing, as while it is being replaced. */
    private readModifiedMs(): number {
        return statSync(this.options.file, { throwIfNoEntry: false })?.mtimeMs ?? 0;
    }
}
