import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";

/** Options of {@link RequestIdentity}. */
export interface RequestIdentityOptions {
    readonly request: Pick<IncomingMessage, "method" | "url" | "headers">;
    readonly body: Buffer;
    /** Name of the client account that holds the caller's key. */
    readonly accountName: string | undefined;
    /** Ids of the parts of the prompt that other requests may share. */
    readonly sharedParts: readonly string[];
}

const keyLength = 32;

/** Tells whether two requests are the same one sent again: equal caller, method, host, path, body and prompt. */
export class RequestIdentity {
    private computedKey: string | undefined;

    constructor(private readonly options: RequestIdentityOptions) {}

    /** Equal for a request and its repeats, under whatever id. Computed when it is first read. */
    get key(): string {
        this.computedKey ??= this.computeKey();
        return this.computedKey;
    }

    private computeKey(): string {
        const { request, body, accountName, sharedParts } = this.options;
        const head = [accountName, request.method, request.headers.host, request.url, sharedParts];
        return createHash("sha256").update(JSON.stringify(head)).update(body).digest("hex").slice(
            0,
            keyLength,
        );
    }
}
