import { write } from "node:fs";

/** Options of {@link LogWriter}. */
export interface LogWriterOptions {
    /** File descriptor that receives the lines. */
    readonly descriptor: number;
    /** Size of the buffer, in bytes; lines that do not fit are dropped and counted. Default 262,144. */
    readonly maxBufferedBytes?: number;
    /** Maximum rate, in lines per second; lines above it are dropped and counted. Default 400. */
    readonly maxLinesPerS?: number;
}

const defaultMaxBufferedBytes = 262_144;
const defaultMaxLinesPerS = 400;
const flushIntervalMs = 200; // batches lines, because each write has a fixed cost
const msPerSecond = 1_000;

/**
 * Writes log lines to a file descriptor in batches, without blocking the caller. Lines above the buffer size or the
 * rate limit are dropped; a line `log-lines-dropped` reports their number in the next batch.
 */
export class LogWriter {
    private readonly maxBufferedBytes: number;
    private readonly maxLinesPerS: number;
    private bufferedLines: string[] = [];
    /** Buffered characters, line ends included; an approximation of the bytes that are written. */
    private bufferedBytes = 0;
    private droppedLines = 0;
    /** Lines that the rate limit still admits; replenished with each flush, up to the lines of one second. */
    private remainingLines: number;
    private flushTimer: NodeJS.Timeout | undefined;
    private pendingWrite: Promise<void> | undefined;

    constructor(private readonly options: LogWriterOptions) {
        this.maxBufferedBytes = options.maxBufferedBytes ?? defaultMaxBufferedBytes;
        this.maxLinesPerS = options.maxLinesPerS ?? defaultMaxLinesPerS;
        this.remainingLines = this.maxLinesPerS;
    }

    /**
     * Buffers a line, or drops it if a limit is reached.
     *
     * @param line - text without its line end
     */
    write(line: string): void {
        this.flushTimer ??= setTimeout(() => this.writeBuffer(), flushIntervalMs).unref();
        if (this.bufferedBytes + line.length > this.maxBufferedBytes || this.remainingLines < 1) {
            this.droppedLines += 1;
            return;
        }
        this.remainingLines -= 1;
        this.bufferedLines.push(line);
        this.bufferedBytes += line.length + 1;
    }

    /** Writes the buffered lines and waits for the write; if a write is already pending, waits only for that. */
    async flush(): Promise<void> {
        this.writeBuffer();
        await this.pendingWrite;
    }

    /** Starts to write the buffered lines; while a write is pending, tries again after the flush interval. */
    private writeBuffer(): void {
        clearTimeout(this.flushTimer);
        this.flushTimer = undefined;
        this.remainingLines = Math.min(
            this.maxLinesPerS,
            this.remainingLines + this.maxLinesPerS * flushIntervalMs / msPerSecond,
        );
        if (this.pendingWrite) {
            this.flushTimer = setTimeout(() => this.writeBuffer(), flushIntervalMs).unref();
            return;
        }
        if (this.droppedLines > 0) {
            this.bufferedLines.push(JSON.stringify({ name: "log-lines-dropped", count: this.droppedLines }));
            this.droppedLines = 0;
        }
        const text = this.bufferedLines.map(line => `${line}\n`).join("");
        this.bufferedLines = [];
        this.bufferedBytes = 0;
        if (text !== "") {
            this.pendingWrite = this.writeAll(Buffer.from(text)).finally(() => {
                this.pendingWrite = undefined;
            });
        }
    }

    /**
     * Writes all bytes. If a write fails, the rest is discarded, because the failure cannot be logged anywhere else.
     */
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
