import { z } from "zod";
import type { FeedFollower } from "../feeds/FeedFollower";
import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";
import { waitWithTimeout } from "../kernel/waitWithTimeout";
import type { PeerNetwork } from "../peers/PeerNetwork";
import type { UpstreamInstance } from "../placement/types";
import type { SoftwareVersions } from "./SoftwareVersions";
import type { VersionRecords } from "./VersionRecords";

/** Options of {@link SoleVersions}. */
export interface SoleVersionsOptions {
    readonly feed: Pick<FeedFollower<UpstreamInstance>, "confirm">;
    readonly versions: Pick<
        SoftwareVersions,
        "isMixed" | "listRecent" | "findSole" | "hasWholeHistory" | "isCurrent"
    >;
    readonly records: Pick<VersionRecords, "reload">;
    readonly network: Pick<PeerNetwork, "call" | "registerHandler">;
    /** Lists the other nodes that read the upstreams' feed for all, in their order. */
    readonly listReaders: () => readonly string[];
    readonly clock: Clock;
}

/** Result of looking for the only version of a service. */
export interface SoleVersion {
    /** Undefined if there are several versions, or if a further one cannot be ruled out. */
    readonly version: string | undefined;
    /** Whether the store was read for it, by this node or a member; false also where that was not necessary. */
    readonly isConfirmed: boolean;
}

const unconfirmed: SoleVersion = { version: undefined, isConfirmed: false };
const method = "confirm-software-versions";
const ownTimeoutMs = 250; // the store answers within 250 ms when it is slow
const memberTimeoutMs = 300; // this node waits on meanwhile, for a second call where the first one began too early
const maxAsked = 2;
const questionSchema = z.object({ service: z.string() });
const answerSchema = z.array(z.string()).optional();

/**
 * Finds the version at which every stream of a service has begun that may go on now. A version may have joined, and begun
 * streams through other nodes, while this node was cut off or standing still: what it has read, and when by its clocks,
 * proves nothing. So the store is read after the question, by this node or else by a member.
 */
export class SoleVersions {
    constructor(private readonly options: SoleVersionsOptions) {}

    async start(): Promise<void> {
        this.options.network.registerHandler(method, payload => this.answerMember(payload));
    }

    /** Finds the only version of a service; never rejects. */
    async find(service: string): Promise<SoleVersion> {
        const { versions, clock } = this.options;
        if (versions.isMixed(service)) {
            return unconfirmed;
        }
        const own = this.findByOwnReading(service);
        const settled = own.catch(() => undefined); // the members are asked then
        const first = await waitWithTimeout({ clock, promises: [settled], timeoutMs: ownTimeoutMs });
        if (first) {
            return first;
        }
        const any = Promise.any([own, this.findByMembers(service)]).catch(() => unconfirmed);
        return await waitWithTimeout({ clock, promises: [any], timeoutMs: memberTimeoutMs }) ?? unconfirmed;
    }

    /** Rejects if this node cannot confirm what it knows. */
    private async findByOwnReading(service: string): Promise<SoleVersion> {
        if (!await this.confirmOwn()) {
            throw new Error("this node cannot read the store");
        }
        return { version: this.options.versions.findSole(service), isConfirmed: true };
    }

    /** Confirms by the store what this node knows. */
    private async confirmOwn(): Promise<boolean> {
        const { feed, versions, records } = this.options;
        const isRead = await feed.confirm();
        return isRead && (versions.hasWholeHistory() || await records.reload());
    }

    /** Asks members, each of which reads the store for its answer. Rejects if none can. */
    private async findByMembers(service: string): Promise<SoleVersion> {
        const { versions, listReaders } = this.options;
        const asked = listReaders().slice(0, maxAsked);
        const answered = await Promise.any(asked.map(nodeId => this.requestVersions(nodeId, service)));
        const [version, ...others] = new Set([...versions.listRecent(service), ...answered]);
        return { version: others.length === 0 && version !== "" ? version : undefined, isConfirmed: true };
    }

    private async requestVersions(nodeId: string, service: string): Promise<string[]> {
        const payload = await this.options.network.call(nodeId, method, { service }, memberTimeoutMs);
        const answer = answerSchema.parse(payload ?? undefined);
        return answer ?? Promise.reject(new Error("the member cannot read the store"));
    }

    private async answerMember(payload: unknown): Promise<string[] | undefined> {
        const { service } = questionSchema.parse(payload);
        const { versions } = this.options;
        const isConfirmed = await this.confirmOwn();
        return isConfirmed && versions.isCurrent() ? versions.listRecent(service) : undefined;
    }
}

/** Name of the sole versions service. */
export const soleVersionsName = createServiceName<SoleVersions>("sole-versions");
