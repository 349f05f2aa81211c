import { write } from "node:fs";

/** Options of {@link LogWriter}. */
export interface LogWriterOptions {
    /** File descriptor that receives the lines. */
    readonly descriptor: number;
    /** Bytes that may wait; lines beyond are dropped and counted. Default 262,144. */
    readonly maxBufferedBytes?: number;
    /** Lines written per second; lines beyond are dropped and counted. Default 400. */
    readonly maxLinesPerS?: number;
}

const defaultMaxWaitingBytes = 262_144;
const defaultMaxLinesPerS = 400;
const flushMs = 200; // lines are written together, as each write costs the same
const msPerSecond = 1_000;

/** Writes log lines without blocking: a bounded buffer, written in batches; what does not fit is dropped and counted. */
export class LogWriter {
    private readonly maxWaitingBytes: number;
    private readonly maxLinesPerS: number;
    private waiting: string[] = [];
    private waitingBytes = 0;
    private dropped = 0;
    private allowance: number;
    private timer: NodeJS.Timeout | undefined;
    private writing: Promise<void> | undefined;

    constructor(private readonly options: LogWriterOptions) {
        this.maxWaitingBytes = options.maxBufferedBytes ?? defaultMaxWaitingBytes;
        this.maxLinesPerS = options.maxLinesPerS ?? defaultMaxLinesPerS;
        this.allowance = this.maxLinesPerS;
    }

    /** Adds a line. */
    write(line: string): void {
        this.timer ??= setTimeout(() => this.start(), flushMs).unref();
        if (this.waitingBytes + line.length > this.maxWaitingBytes || this.allowance < 1) {
            this.dropped += 1;
            return;
        }
        this.allowance -= 1;
        this.waiting.push(line);
        this.waitingBytes += line.length + 1;
    }

    /** Writes what waits. */
    async flush(): Promise<void> {
        this.start();
        await this.writing;
    }

    private start(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        this.allowance = Math.min(
            this.maxLinesPerS,
            this.allowance + this.maxLinesPerS * flushMs / msPerSecond,
        );
        if (this.writing) {
            this.timer = setTimeout(() => this.start(), flushMs).unref();
            return;
        }
        if (this.dropped > 0) {
            this.waiting.push(JSON.stringify({ name: "log-lines-dropped", count: this.dropped }));
            this.dropped = 0;
        }
        const text = this.waiting.map(line => `${line}\n`).join("");
        this.waiting = [];
        this.waitingBytes = 0;
        if (text !== "") {
            this.writing = this.writeAll(Buffer.from(text)).finally(() => {
                this.writing = undefined;
            });
        }
    }

    /** Writes all bytes; lines are lost when the descriptor fails, as there is no other place to tell it. */
    private async writeAll(bytes: Buffer): Promise<void> {
        let written = 0;
        while (written < bytes.length) {
            const count = await new Promise<number>(resolve => {
                write(
                    this.options.descriptor,
                    bytes,
                    written,
                    (error, length) => resolve(error ? 0 : length),
                );
            });
            if (count === 0) {
                return;
            }
            written += count;
        }
    }
}
