import { z } from "zod";
import { rankByRendezvous } from "../_lib/rankByRendezvous";
import { createServiceName } from "../kernel/createServiceName";
import type { Membership } from "../membership/Membership";
import type { PeerNetwork } from "../peers/PeerNetwork";
import { computeBodyDigest } from "./computeBodyDigest";
import type { ChatRequests } from "./ChatRequests";
import type { RequestRecord, RequestState } from "./RequestRecord";
import { formatFailure } from "../results/formatFailure";

/** Options of {@link RequestLocator}. */
export interface RequestLocatorOptions {
    readonly nodeId: string;
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly chats: ChatRequests;
}

/** Where a request is. */
export type RequestLocation =
    | { readonly kind: "here"; readonly record: RequestRecord; }
    | { readonly kind: "member"; readonly nodeId: string; readonly bodyDigest: string; }
    | { readonly kind: "unknown"; };

/** Part of an answer that a member read for this node. */
export interface RemoteAnswerPart {
    readonly events: Buffer;
    readonly nextOffset: number;
    readonly state: RequestState;
    /** Whether the answer is whole. */
    readonly ended: boolean;
    /** Body of the refusal, when the request failed. */
    readonly failure?: unknown;
    readonly status?: number;
    readonly movedTo?: string;
}

const findMethod = "requests.find";
const readMethod = "requests.read";
const cancelMethod = "requests.cancel";
const hintMethod = "requests.hint";
const findTimeoutMs = 1_000;
const readTimeoutMs = 5_000;
const readWaitMs = 3_000;
const maxHints = 50_000;
const hintCopies = 2;
const askAllUpTo = 16; // members
const askedOfMany = 8; // members asked when there are more
const maxHops = 8;

const addressedSchema = z.object({ requestId: z.string(), accountId: z.string() });
const readSchema = addressedSchema.extend({ offset: z.number().int().min(0) });
const hintSchema = z.object({ requestId: z.string(), nodeId: z.string() });

const findReplySchema = z.object({
    found: z.boolean(),
    bodyDigest: z.string().optional(),
    movedTo: z.string().nullish(),
});

interface FoundRequest {
    readonly nodeId: string;
    readonly bodyDigest: string;
}

/** Finds a request on any node, by its id and its account. */
export class RequestLocator {
    private readonly hints = new Map<string, string>();

    constructor(private readonly options: RequestLocatorOptions) {
        const { network } = options;
        network.registerHandler(findMethod, payload => this.answerFind(payload));
        network.registerHandler(readMethod, payload => this.answerRead(payload));
        network.registerHandler(cancelMethod, payload => this.answerCancel(payload));
        network.registerHandler(hintMethod, async payload => this.keepHint(payload));
    }

    /**
     * Finds the node that has a request.
     *
     * @param requestId - the request
     * @param accountId - the account that asks; another account's request is not found
     * @returns where it is
     */
    async locate(requestId: string, accountId: string): Promise<RequestLocation> {
        const record = this.options.chats.find(requestId, accountId);
        if (record && record.state !== "handed-over") {
            return { kind: "here", record };
        }
        const candidates = this.listCandidates(requestId, record?.movedTo);
        const answers = await Promise.all(candidates.map(nodeId => this.ask(nodeId, requestId, accountId)));
        const found = answers.find(answer => answer !== undefined);
        return found === undefined ? { kind: "unknown" } : { kind: "member", ...found };
    }

    /** Tells a few members where a request is, so that it is found without asking all. */
    publishHint(requestId: string, nodeId: string): void {
        const live = this.options.membership.listLive().map(member => member.nodeId);
        for (const target of rankByRendezvous(requestId, live).slice(0, hintCopies)) {
            if (target === this.options.nodeId) {
                this.keepHint({ requestId, nodeId });
                continue;
            }
            this.options.network.call(target, hintMethod, { requestId, nodeId }, findTimeoutMs).catch(
                () => {},
            );
        }
    }

    /**
     * Reads on in an answer that another node has; waits a while for news.
     *
     * @throws PeerError when the member cannot be reached
     */
    async readRemote(
        nodeId: string,
        requestId: string,
        accountId: string,
        offset: number,
    ): Promise<RemoteAnswerPart> {
        const payload = { requestId, accountId, offset };
        const reply = await this.options.network.call(
            nodeId,
            readMethod,
            payload,
            readTimeoutMs,
        ) as RemoteAnswerPart;
        return { ...reply, events: Buffer.from(reply.events) };
    }

    /** Cancels a request that another node has. */
    async cancelRemote(nodeId: string, requestId: string, accountId: string): Promise<void> {
        await this.options.network.call(nodeId, cancelMethod, { requestId, accountId }, findTimeoutMs);
    }

    private listCandidates(requestId: string, movedTo: string | undefined): string[] {
        const members = this.options.membership.members.value
            .filter(member => member.state !== "gone" && member.nodeId !== this.options.nodeId)
            .map(member => member.nodeId);
        if (members.length <= askAllUpTo) {
            return members;
        }
        const origin = requestId.split(".")[0];
        const hinted = this.hints.get(requestId);
        const first = [movedTo, hinted, origin].filter(nodeId =>
            nodeId !== undefined && members.includes(nodeId)
        );
        return [
            ...new Set([...first as string[], ...rankByRendezvous(requestId, members).slice(0, askedOfMany)]),
        ];
    }

    private async ask(
        nodeId: string,
        requestId: string,
        accountId: string,
    ): Promise<FoundRequest | undefined> {
        let asked = nodeId;
        for (let hop = 0; hop < maxHops; hop += 1) {
            try {
                const payload = { requestId, accountId };
                const reply = findReplySchema.parse(
                    await this.options.network.call(asked, findMethod, payload, findTimeoutMs),
                );
                if (reply.found) {
                    return { nodeId: asked, bodyDigest: reply.bodyDigest ?? "" };
                }
                if (!reply.movedTo || reply.movedTo === this.options.nodeId) {
                    return undefined;
                }
                asked = reply.movedTo;
            }
            catch {
                return undefined;
            }
        }
        return undefined;
    }

    private async answerFind(payload: unknown): Promise<unknown> {
        const { requestId, accountId } = addressedSchema.parse(payload);
        const record = this.options.chats.find(requestId, accountId);
        if (record && record.state !== "handed-over") {
            return { found: true, bodyDigest: computeBodyDigest(record.description.body) };
        }
        return { found: false, movedTo: record?.movedTo ?? this.hints.get(requestId) };
    }

    private async answerRead(payload: unknown): Promise<RemoteAnswerPart> {
        const { requestId, accountId, offset } = readSchema.parse(payload);
        const record = this.options.chats.find(requestId, accountId);
        if (!record) {
            throw new Error(`request "${requestId}" is not known`);
        }
        await waitForNews(record, offset);
        const { log } = record;
        const from = Math.min(offset, log.nextOffset);
        return {
            events: log.read(log.findPosition(from)),
            nextOffset: log.nextOffset,
            state: record.state,
            ended: log.isComplete,
            failure: record.failure && formatFailure(record.failure),
            status: record.failure?.resultCode.status,
            movedTo: record.movedTo,
        };
    }

    private async answerCancel(payload: unknown): Promise<unknown> {
        const { requestId, accountId } = addressedSchema.parse(payload);
        const record = this.options.chats.find(requestId, accountId);
        if (record) {
            this.options.chats.cancel(record);
        }
        return { found: record !== undefined };
    }

    private keepHint(payload: unknown): unknown {
        const { requestId, nodeId } = hintSchema.parse(payload);
        this.hints.delete(requestId);
        this.hints.set(requestId, nodeId);
        if (this.hints.size > maxHints) {
            this.hints.delete(this.hints.keys().next().value!);
        }
        return {};
    }
}

/** Resolves when the answer has events beyond an offset, has ended, or some time has passed. */
const waitForNews = (record: RequestRecord, offset: number): Promise<void> => {
    const hasNews = (): boolean => record.log.nextOffset > offset || record.log.isComplete || record.hasEnded;
    if (hasNews()) {
        return Promise.resolve();
    }
    return new Promise(resolve => {
        const finish = (): void => {
            clearTimeout(timer);
            unsubscribe();
            resolve();
        };
        const timer = setTimeout(finish, readWaitMs);
        const unsubscribe = record.log.subscribe(() => {
            if (hasNews()) {
                finish();
            }
        });
    });
};

/** Name of the request locator service. */
export const requestLocatorName = createServiceName<RequestLocator>("request-locator");
