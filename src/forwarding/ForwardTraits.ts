import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { RequestTraits } from "../quarantine/types";

/** Options of {@link ForwardTraits}. */
export interface ForwardTraitsOptions {
    readonly request: Pick<IncomingMessage, "method" | "url" | "headers">;
    readonly body: Buffer;
    /** Name of the client account that holds the caller's key. */
    readonly accountName: string | undefined;
    /** Ids of the parts of the prompt that other requests may share. */
    readonly partIds: readonly string[];
}

const identityLength = 32;

/** By what a forwarded request can be recognised when it, or another one like it, comes again. */
export class ForwardTraits implements RequestTraits {
    readonly partIds: readonly string[];
    private computedIdentity: string | undefined;

    constructor(private readonly options: ForwardTraitsOptions) {
        this.partIds = options.partIds;
    }

    /** Equal where caller, method, host, path, body and prompt are. Computed when it is first read. */
    get identity(): string {
        this.computedIdentity ??= this.computeIdentity();
        return this.computedIdentity;
    }

    private computeIdentity(): string {
        const { request, body, accountName, partIds } = this.options;
        const head = [accountName, request.method, request.headers.host, request.url, partIds];
        return createHash("sha256").update(JSON.stringify(head)).update(body).digest("hex").slice(
            0,
            identityLength,
        );
    }
}
