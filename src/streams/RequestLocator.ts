import { z } from "zod";
import { rankByRendezvous } from "../_lib/rankByRendezvous";
import { createServiceName } from "../kernel/createServiceName";
import type { Membership } from "../membership/Membership";
import type { PeerNetwork } from "../peers/PeerNetwork";
import { computeBodyDigest } from "./computeBodyDigest";
import type { ChatRequests } from "./ChatRequests";
import { RequestClaims } from "./RequestClaims";
import type { RequestRecord, RequestState } from "./RequestRecord";
import { formatFailure } from "../results/formatFailure";

/** Options of {@link RequestLocator}. */
export interface RequestLocatorOptions {
    readonly nodeId: string;
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly chatRequests: ChatRequests;
}

/**
 * Node that holds a request. `bodyDigest` identifies the request's body. `unconfirmed`: no node that answered holds it,
 * and a present one did not answer, or is about to accept it.
 */
export type RequestLocation =
    | { readonly kind: "here"; readonly record: RequestRecord; }
    | { readonly kind: "member"; readonly nodeId: string; readonly bodyDigest: string; }
    | { readonly kind: "unknown" | "unconfirmed"; };

/** Part of an answer, as read from the node that holds the request. */
export interface RemoteAnswerPart {
    readonly events: Buffer;
    readonly nextOffset: number;
    readonly state: RequestState;
    /** Whether the answer is complete. */
    readonly ended: boolean;
    /** Body of the error response, when the request failed. */
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
const longPollMs = 3_000;
const maxHints = 50_000;
const hintReplicas = 2;
const maxMembersAllAsked = 16; // in a larger cluster, only the likely holders are asked
const rankedMembersAsked = 8; // in a larger cluster, highest ranked by rendezvous hashing
const maxHops = 8;

const addressedSchema = z.object({ requestId: z.string(), accountId: z.string() });
const readSchema = addressedSchema.extend({ offset: z.number().int().min(0) });
const hintSchema = z.object({ requestId: z.string(), nodeId: z.string() });

const findReplySchema = z.object({
    found: z.boolean(),
    isClaimed: z.boolean().optional(),
    bodyDigest: z.string().optional(),
    movedTo: z.string().nullish(),
});

/** What a member, and the nodes to which it refers, say of a request. */
type HolderAnswer = Exclude<RequestLocation, { readonly kind: "here"; }>;

/** Finds the node that holds a request, and reads or cancels the request there. */
export class RequestLocator {
    private readonly hints = new Map<string, string>();
    private readonly claims = new RequestClaims();

    constructor(private readonly options: RequestLocatorOptions) {
        const { network } = options;
        network.registerHandler(findMethod, payload => this.handleFind(payload));
        network.registerHandler(readMethod, payload => this.handleRead(payload));
        network.registerHandler(cancelMethod, payload => this.handleCancel(payload));
        network.registerHandler(hintMethod, async payload => this.storeHint(payload));
    }

    /**
     * Finds the node that holds a request.
     *
     * @param requestId - the request
     * @param accountId - the account that asks; another account's request is not found
     * @returns the node, with the record when it is this one
     */
    async locate(requestId: string, accountId: string): Promise<RequestLocation> {
        const known = this.findHere(requestId, accountId);
        if (known) {
            return { kind: "here", record: known };
        }
        const movedTo = this.options.chatRequests.find(requestId, accountId)?.movedTo;
        const candidates = this.listCandidates(requestId, movedTo);
        const answers = await Promise.all(
            candidates.map(nodeId => this.findHolder(nodeId, requestId, accountId)),
        );
        return answers.find(({ kind }) => kind === "member")
            ?? answers.find(({ kind }) => kind === "unconfirmed")
            ?? { kind: "unknown" };
    }

    /** Finds a request that this node holds; undefined for one that it has handed over. */
    findHere(requestId: string, accountId: string): RequestRecord | undefined {
        const record = this.options.chatRequests.find(requestId, accountId);
        return record?.state === "handed-over" ? undefined : record;
    }

    /**
     * Claims a request that this node accepts if {@link locate} says that it is unknown. Of two nodes that claim the same
     * request, one at most is told so while both claims last.
     *
     * @param requestId - the request
     * @returns a function that releases the claim, after the request was accepted or not; to be called once
     */
    claim(requestId: string): () => void {
        return this.claims.add(requestId);
    }

    /**
     * Tells a few members which node holds a request. In a large cluster, it can then be found without asking
     * every member.
     */
    publishHint(requestId: string, nodeId: string): void {
        const live = this.options.membership.listLive().map(member => member.nodeId);
        for (const target of rankByRendezvous(requestId, live).slice(0, hintReplicas)) {
            if (target === this.options.nodeId) {
                this.storeHint({ requestId, nodeId });
                continue;
            }
            this.options.network.call(target, hintMethod, { requestId, nodeId }, findTimeoutMs).catch(
                () => {},
            );
        }
    }

    /**
     * Reads the next events of an answer that another node holds. That node waits up to 3 s for new events.
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

    /** Cancels a request that another node holds. */
    async cancelRemote(nodeId: string, requestId: string, accountId: string): Promise<void> {
        await this.options.network.call(nodeId, cancelMethod, { requestId, accountId }, findTimeoutMs);
    }

    private listCandidates(requestId: string, movedTo: string | undefined): string[] {
        const members = this.options.membership.members.value
            .filter(member => member.state !== "gone" && member.nodeId !== this.options.nodeId)
            .map(member => member.nodeId);
        if (members.length <= maxMembersAllAsked) {
            return members;
        }
        const origin = requestId.split(".")[0];
        const hinted = this.hints.get(requestId);
        const likelyHolders = [movedTo, hinted, origin].filter(nodeId =>
            nodeId !== undefined && members.includes(nodeId)
        );
        return [
            ...new Set([
                ...likelyHolders as string[],
                ...rankByRendezvous(requestId, members).slice(0, rankedMembersAsked),
            ]),
        ];
    }

    /** Asks a member for a request, and then the nodes to which it was moved. */
    private async findHolder(
        nodeId: string,
        requestId: string,
        accountId: string,
    ): Promise<HolderAnswer> {
        let asked = nodeId;
        for (let hop = 0; hop < maxHops; hop += 1) {
            try {
                const payload = { requestId, accountId };
                const reply = findReplySchema.parse(
                    await this.options.network.call(asked, findMethod, payload, findTimeoutMs),
                );
                if (reply.found) {
                    return { kind: "member", nodeId: asked, bodyDigest: reply.bodyDigest ?? "" };
                }
                if (reply.isClaimed) {
                    return { kind: "unconfirmed" };
                }
                if (!reply.movedTo || reply.movedTo === this.options.nodeId) {
                    return { kind: "unknown" };
                }
                asked = reply.movedTo;
            }
            catch {
                return { kind: this.isPresent(asked) ? "unconfirmed" : "unknown" };
            }
        }
        return { kind: "unknown" };
    }

    private isPresent(nodeId: string): boolean {
        const member = this.options.membership.find(nodeId);
        return member !== undefined && member.state !== "gone";
    }

    private async handleFind(payload: unknown): Promise<unknown> {
        const { requestId, accountId } = addressedSchema.parse(payload);
        const known = this.findHere(requestId, accountId);
        if (known) {
            return { found: true, bodyDigest: computeBodyDigest(known.description.body) };
        }
        const movedTo = this.options.chatRequests.find(requestId, accountId)?.movedTo;
        return {
            found: false,
            isClaimed: this.claims.has(requestId),
            movedTo: movedTo ?? this.hints.get(requestId),
        };
    }

    private async handleRead(payload: unknown): Promise<RemoteAnswerPart> {
        const { requestId, accountId, offset } = readSchema.parse(payload);
        const record = this.options.chatRequests.find(requestId, accountId);
        if (!record) {
            throw new Error(`this node does not hold request "${requestId}"`);
        }
        await waitForProgress(record, offset);
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

    private async handleCancel(payload: unknown): Promise<unknown> {
        const { requestId, accountId } = addressedSchema.parse(payload);
        const record = this.options.chatRequests.find(requestId, accountId);
        if (record) {
            this.options.chatRequests.cancel(record);
        }
        return { found: record !== undefined };
    }

    private storeHint(payload: unknown): unknown {
        const { requestId, nodeId } = hintSchema.parse(payload);
        this.hints.delete(requestId);
        this.hints.set(requestId, nodeId);
        if (this.hints.size > maxHints) {
            this.hints.delete(this.hints.keys().next().value!);
        }
        return {};
    }
}

/** Resolves when there are events beyond an offset, when the request ends, or after {@link longPollMs}. */
const waitForProgress = (record: RequestRecord, offset: number): Promise<void> => {
    const hasProgress = (): boolean =>
        record.log.nextOffset > offset || record.log.isComplete || record.hasEnded;
    if (hasProgress()) {
        return Promise.resolve();
    }
    return new Promise(resolve => {
        const finish = (): void => {
            clearTimeout(timer);
            unsubscribe();
            resolve();
        };
        const timer = setTimeout(finish, longPollMs);
        const unsubscribe = record.log.subscribe(() => {
            if (hasProgress()) {
                finish();
            }
        });
    });
};

/** Name of the request locator service. */
export const requestLocatorName = createServiceName<RequestLocator>("request-locator");
