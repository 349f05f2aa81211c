import { type Agent, request } from "undici";
import { type ByteBudget, readAnswer } from "../http/readAnswer";
import { createServiceAgent } from "./createServiceAgent";
import { StoreError } from "./StoreError";
import type { ObjectStore } from "./types";

/** Options of {@link HttpObjectStore}. */
export interface HttpObjectStoreOptions {
    readonly url: string;
    readonly timeoutMs: number;
}

const maxConnections = 8;
const maxAnswerBytes = 67_108_864; // 64 MiB
/** All answers that are read at the same time take no more than the largest. */
const answersBudget: ByteBudget = { maxBytes: maxAnswerBytes, usedBytes: 0 };

/** Client of the object store over HTTP, in the format of the stand-in. */
export class HttpObjectStore implements ObjectStore {
    private readonly agent: Agent;

    constructor(private readonly options: HttpObjectStoreOptions) {
        this.agent = createServiceAgent({ maxConnections, connectTimeoutMs: options.timeoutMs });
    }

    async put(key: string, body: Buffer): Promise<void> {
        await this.send("PUT", `/objects/${encodeURIComponent(key)}`, body);
    }

    async get(key: string): Promise<Buffer | undefined> {
        return this.send("GET", `/objects/${encodeURIComponent(key)}`);
    }

    async list(prefix: string): Promise<readonly string[]> {
        const body = await this.send("GET", `/objects?prefix=${encodeURIComponent(prefix)}`);
        return (JSON.parse(body!.toString("utf8")) as { keys: string[]; }).keys;
    }

    async remove(key: string): Promise<void> {
        await this.send("DELETE", `/objects/${encodeURIComponent(key)}`);
    }

    /** Closes the connections. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }

    private async send(
        method: "GET" | "PUT" | "DELETE",
        path: string,
        body?: Buffer,
    ): Promise<Buffer | undefined> {
        try {
            const answer = await request(`${this.options.url}${path}`, {
                dispatcher: this.agent,
                method,
                body,
                signal: AbortSignal.timeout(this.options.timeoutMs),
            });
            const content = await readAnswer({
                body: answer.body,
                maxBytes: maxAnswerBytes,
                budget: answersBudget,
            });
            if (answer.statusCode === 404) {
                return undefined;
            }
            if (answer.statusCode !== 200) {
                throw new StoreError(
                    `object store answered with status ${answer.statusCode} to ${method} ${path}`,
                    "unknown",
                );
            }
            return content;
        }
        catch (error) {
            if (error instanceof StoreError) {
                throw error;
            }
            throw new StoreError(
                `object store call ${method} ${path} failed: ${(error as Error).message}`,
                "unknown",
            );
        }
    }
}
