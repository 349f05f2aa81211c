import { pack, unpack } from "msgpackr";
import { z } from "zod";
import type { Clock, RandomSource, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { Membership } from "../membership/Membership";
import type { PeerNetwork } from "../peers/PeerNetwork";
import type { ObjectStore } from "../platform/types";
import type { ChatRequests } from "../streams/ChatRequests";
import type { RequestLocator } from "../streams/RequestLocator";
import type { RequestRecord } from "../streams/RequestRecord";
import { requestSnapshotSchema } from "../streams/RequestSnapshot";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";

/** Options of {@link StoredHandOvers}. */
export interface StoredHandOversOptions {
    readonly nodeId: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
    readonly network: Pick<PeerNetwork, "registerHandler" | "call">;
    readonly membership: Pick<Membership, "find">;
    readonly objects: ObjectStore;
    readonly chatRequests: Pick<ChatRequests, "takeOver" | "markHandedOver" | "toSnapshot">;
    readonly locator: Pick<RequestLocator, "publishHint">;
}

/** What a node that stored requests says to a member that found the object. */
const verdicts = { take: "take", wait: "wait", discard: "discard" } as const;
type Verdict = typeof verdicts[keyof typeof verdicts];

interface StoredObject {
    state: "writing" | "stored" | "resumed";
    /** Member that was told to take the requests. */
    takenBy?: string;
}

const storedMethod = "hand-over.stored";
const askTimeoutMs = 800;
const storePrefix = "hand-over/";
const storeAttempts = 5;
const storeRetryMs = 150;

const questionSchema = z.object({ key: z.string() });
const replySchema = z.object({ verdict: z.nativeEnum(verdicts) });

/**
 * Requests that a leaving node writes to the object store, and that another node takes from there. As a write without an
 * answer may take effect later, the node that takes them asks the one that wrote them first, unless that one is gone.
 */
export class StoredHandOvers {
    /** Objects of this node, by key. */
    private readonly written = new Map<string, StoredObject>();

    constructor(private readonly options: StoredHandOversOptions) {
        options.network.registerHandler(
            storedMethod,
            async (payload, fromNode) => ({
                verdict: this.decide(questionSchema.parse(payload).key, fromNode),
            }),
        );
    }

    /**
     * Writes requests to the object store, in one object, and ends them on this node.
     *
     * @param records - the requests
     * @returns false if no write was answered; the requests then stay with this node, also if the object appears
     */
    *store(records: readonly RequestRecord[]): Task<boolean> {
        const { nodeId, chatRequests, clock, events, objects, random } = this.options;
        const key = `${storePrefix}${nodeId}-${random.drawId(8)}`;
        const body = pack(records.map(record => chatRequests.toSnapshot(record)));
        const object: StoredObject = { state: "writing" };
        this.written.set(key, object);
        for (let attempt = 0; attempt < storeAttempts; attempt += 1) {
            try {
                yield* waitFor(objects.put(key, body));
                object.state = "stored";
                records.forEach(record => chatRequests.markHandedOver(record, undefined));
                events.emit(eventKinds.handOverStored, { key, requests: records.length });
                return true;
            }
            catch {
                yield* waitFor(clock.sleep(storeRetryMs));
            }
        }
        object.state = "resumed";
        return false;
    }

    /** Takes over the stored requests of all nodes that do not hold them any more. */
    *takeAll(): Task<void> {
        const keys = yield* waitFor(this.options.objects.list(storePrefix));
        for (const key of keys) {
            const verdict = yield* waitFor(this.requestVerdict(key));
            if (verdict === verdicts.take) {
                yield* this.take(key);
            }
            if (verdict === verdicts.discard) {
                yield* waitFor(this.options.objects.remove(key));
            }
        }
    }

    /** Takes over the requests of an object. It is removed only after all of them have been taken over here. */
    private *take(key: string): Task<void> {
        const { nodeId, chatRequests, events, locator, objects } = this.options;
        const body = yield* waitFor(objects.get(key));
        if (!body) {
            return;
        }
        for (const snapshot of requestSnapshotSchema.array().parse(unpack(body))) {
            chatRequests.takeOver(snapshot);
            locator.publishHint(snapshot.id, nodeId);
            events.emit(eventKinds.handOverRecovered, { requestId: snapshot.id });
        }
        yield* waitFor(objects.remove(key));
    }

    private async requestVerdict(key: string): Promise<Verdict> {
        const { nodeId, membership, network } = this.options;
        const owner = key.slice(storePrefix.length, key.lastIndexOf("-"));
        if (owner === nodeId) {
            return this.decide(key, nodeId);
        }
        const member = membership.find(owner);
        if (member === undefined || member.state === "gone") {
            return verdicts.take;
        }
        try {
            return replySchema.parse(await network.call(owner, storedMethod, { key }, askTimeoutMs)).verdict;
        }
        catch {
            return verdicts.wait;
        }
    }

    /** Decides what a member may do with an object of this node; one that is not known is of an earlier process. */
    private decide(key: string, asker: string): Verdict {
        const object = this.written.get(key);
        if (object?.state === "writing") {
            return verdicts.wait;
        }
        if (object?.state === "resumed") {
            return verdicts.discard;
        }
        if (object) {
            object.takenBy ??= asker;
        }
        return object === undefined || object.takenBy === asker ? verdicts.take : verdicts.wait;
    }
}
