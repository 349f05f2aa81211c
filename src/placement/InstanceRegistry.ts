import { z } from "zod";
import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";
import type { FeedFollower } from "../feeds/FeedFollower";
import type { PeerReports, ReportTopic } from "../peers/PeerReports";
import type { ClusterSums } from "../sums/ClusterSums";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { UpstreamClient } from "../upstreams/UpstreamClient";
import { UpstreamRejections } from "../upstreams/UpstreamRejections";
import { AddressDepartures } from "./AddressDepartures";
import { createTrackedInstance, type TrackedInstance } from "./createTrackedInstance";
import { InstanceNotices } from "./InstanceNotices";
import { isListingCurrent } from "./isListingCurrent";
import type { BrittleServices } from "./BrittleServices";
import type { UpstreamInstance, UpstreamStart, UpstreamView } from "./types";
import { UnreadRequests } from "./UnreadRequests";
import type { UpstreamLimits } from "./UpstreamLimits";

/** Options of {@link InstanceRegistry}. */
export interface InstanceRegistryOptions {
    readonly feed: FeedFollower<UpstreamInstance>;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly reports: Pick<PeerReports, "publish" | "listen">;
    readonly sums: Pick<ClusterSums, "registerContributor" | "readOthers">;
    readonly limits: Pick<UpstreamLimits, "observe" | "readWaitMs" | "readMaxUnread" | "take" | "isLimited">;
    readonly brittle: Pick<BrittleServices, "observe" | "isBrittle" | "listLimits">;
    /** Current limit of this node's connections to one upstream of a service. */
    readonly readMaxConnections: (service: string) => number;
    /** Creates the client for an upstream; default: an HTTP client. */
    readonly createClient?: (instance: UpstreamInstance) => UpstreamClient;
}

/** Group of counters with the requests in flight by upstream. */
const loadGroup = "load";
const startSchema = z.object({ id: z.string(), startedAtMs: z.number().optional() });
/** Id and start of an upstream that stated that it is leaving. */
const leavingTopic: ReportTopic<UpstreamStart> = { name: "upstream-leaving", schema: startSchema };
/** Id and start of a brittle upstream that turned a request away. */
const fullTopic: ReportTopic<UpstreamStart> = { name: "brittle-upstream-full", schema: startSchema };
const brittlePauseMs = 1_000; // it counts what it turns away by the second
const storeRecoveryMs = 2_500; // entries that expired while the store was unavailable reappear within 2 s
const missingGraceMs = 1_500; // shorter than the time after which an upstream that is gone must get no requests
/** An upstream that restarts needs seconds; one that reset a connection is usable again immediately. */
const ejectionMs = 1_000;
const maxSilentMs = 1_000;

/** Registry of the upstreams that the platform lists: this node's connections to them and the load from all nodes. */
export class InstanceRegistry {
    private readonly tracked = new Map<string, TrackedInstance>();
    private readonly closing = new Set<TrackedInstance>();
    private readonly notices = new InstanceNotices();
    private readonly departures: AddressDepartures;
    private readonly rejections: UpstreamRejections;
    private readonly unread: UnreadRequests;

    constructor(private readonly options: InstanceRegistryOptions) {
        this.rejections = new UpstreamRejections(options.events);
        this.departures = new AddressDepartures(options.clock);
        this.unread = new UnreadRequests(options);
    }

    async start(): Promise<void> {
        this.options.sums.registerContributor(loadGroup, () => this.readOwnLoad());
        this.options.reports.listen(leavingTopic, leaving => this.applyLeavingReport(leaving));
        this.options.reports.listen(fullTopic, full => this.applyFullReport(full));
        this.options.feed.records.onChange(records => this.update(records ?? new Map()));
        this.update(this.options.feed.records.value ?? new Map());
    }

    async stop(): Promise<void> {
        await Promise.all([...this.tracked.values(), ...this.closing].map(tracked => tracked.client.close()));
    }

    /**
     * Lists the usable upstreams of a service: not leaving, ejected or refusing, with a free connection, and within the
     * limit that they state.
     */
    listUsable(service: string): TrackedInstance[] {
        const nowMs = this.options.clock.readMonotonicMs();
        const maxConnections = this.options.readMaxConnections(service);
        const listed = this.listInService(service);
        const limits = this.options.brittle.isBrittle(service)
            ? this.options.brittle.listLimits(service, listed.map(({ instance }) => instance))
            : undefined;
        return listed.filter(tracked =>
            tracked.ejectedUntilMs <= nowMs && tracked.inFlight < maxConnections
            && this.unread.hasRoom(tracked, limits?.get(tracked.instance.id))
            && this.notices.readRefusedUntilMs(tracked.instance) <= nowMs
            && this.options.limits.readWaitMs(tracked.instance) === 0
        );
    }

    /** Whether a chosen upstream may still get requests: it is neither removed nor leaving, and does not refuse them. */
    isAcceptingRequests(tracked: TrackedInstance): boolean {
        return this.tracked.get(tracked.instance.id) === tracked && !tracked.instance.isLeaving
            && this.notices.readRefusedUntilMs(tracked.instance) <= this.options.clock.readMonotonicMs();
    }

    /**
     * Returns the time until the first upstream of a service accepts requests again.
     *
     * @returns milliseconds, 0 if one does now; undefined unless every upstream of the service has asked for a pause or for
     *     fewer requests
     */
    readRefusalMs(service: string): number | undefined {
        const nowMs = this.options.clock.readMonotonicMs();
        const listed = this.listInService(service);
        const waits = listed.map(({ instance }) =>
            Math.max(
                this.notices.readRefusedUntilMs(instance) - nowMs,
                this.options.limits.readWaitMs(instance),
            )
        );
        const shortestMs = Math.min(...waits);
        if (shortestMs > 0) {
            return waits.length > 0 ? shortestMs : undefined;
        }
        const areLimited = listed.every(({ instance }) => this.options.limits.isLimited(instance));
        return areLimited && this.listUsable(service).length > 0 ? 0 : undefined;
    }

    /** Whether what is listed of the upstreams is that of the processes that run now. */
    isListingCurrent(): boolean {
        return isListingCurrent(this.options.feed);
    }

    /** Records that an upstream stated in an answer that it is leaving, and tells the members. */
    markLeaving(tracked: TrackedInstance): void {
        const { instance } = tracked;
        if (this.notices.markLeaving(instance)) {
            this.publishStart(leavingTopic, instance);
            this.applyNotice(tracked);
        }
    }

    /** Records that an upstream asked for no requests for a time, in milliseconds. */
    recordRefusal(tracked: TrackedInstance, durationMs: number): void {
        const nowMs = this.options.clock.readMonotonicMs();
        const isRefusing = this.notices.readRefusedUntilMs(tracked.instance) > nowMs;
        this.notices.refuseUntil(tracked.instance, nowMs + durationMs);
        if (isRefusing) {
            return; // requests that were under way; logged once
        }
        this.options.events.emit(eventKinds.runnerEjected, {
            runner: tracked.instance.id,
            reason: "the upstream asked for no requests",
            durationMs,
        });
    }

    /** Records the limit that an upstream states in an answer, in requests a second; undefined if it states none. */
    recordLimit(tracked: TrackedInstance, limitPerS: number | undefined): void {
        this.options.limits.observe(tracked.instance, limitPerS);
    }

    /** Records that an upstream says in an answer that it is brittle; undefined if it does not. */
    recordBrittle({ instance }: TrackedInstance, turnedAwayPerS: number | undefined): void {
        this.options.brittle.observe(instance.service, turnedAwayPerS);
    }

    /** Records that an upstream turned a request away. A brittle one gets no requests of any node for a time. */
    recordTurnedAway(tracked: TrackedInstance): void {
        const { instance } = tracked;
        const isRefusing = this.notices.readRefusedUntilMs(instance) > this.options.clock.readMonotonicMs();
        if (!isRefusing && this.options.brittle.isBrittle(instance.service)) {
            this.recordRefusal(tracked, brittlePauseMs);
            this.publishStart(fullTopic, instance);
        }
    }

    /** Lists the upstreams of a service that are not leaving, including ejected ones. */
    listInService(service: string): TrackedInstance[] {
        return [...this.tracked.values()].filter(({ instance }) =>
            instance.service === service && !instance.isLeaving
        );
    }

    /** Describes upstreams for a placement policy. */
    createViews(instances: readonly TrackedInstance[]): UpstreamView[] {
        const remote = this.options.sums.readOthers(loadGroup);
        return instances.map(({ instance, inFlight }) => ({
            id: instance.id,
            dataCentre: instance.dataCentre,
            slots: instance.slots,
            inFlight: inFlight + (remote.get(instance.id) ?? 0),
        }));
    }

    /** Counts the requests of all nodes in flight at the upstreams of a service. */
    countInFlight(service: string): number {
        return this.createViews(this.listInService(service)).reduce((sum, view) => sum + view.inFlight, 0);
    }

    /**
     * Counts this node's requests in flight at upstreams of a service, also at those that are leaving or gone.
     *
     * @param service - the service
     * @param isCounted - whether an upstream's requests count
     */
    countOwnInFlight(service: string, isCounted: (instance: UpstreamInstance) => boolean): number {
        return [...this.tracked.values(), ...this.closing]
            .filter(({ instance }) => instance.service === service && isCounted(instance))
            .reduce((sum, { inFlight }) => sum + inFlight, 0);
    }

    /** Counts the upstreams of a service that state a limit of requests. */
    countLimited(service: string): number {
        return this.listInService(service).filter(({ instance }) => this.options.limits.isLimited(instance))
            .length;
    }

    /**
     * Sends further requests to an upstream over new connections if it has not answered for a time. Connections may have
     * fallen silent for good; requests under way keep theirs.
     */
    renewSilent(tracked: TrackedInstance): void {
        const nowMs = this.options.clock.readMonotonicMs();
        const silentMs = nowMs - tracked.unansweredSinceMs;
        if (tracked.unansweredSinceMs > tracked.lastReceivedMs && silentMs >= maxSilentMs) {
            tracked.unansweredSinceMs = nowMs;
            tracked.client.renewConnections();
            this.options.events.emit(eventKinds.upstreamSilent, {
                runner: tracked.instance.id,
                silentMs: Math.round(silentMs),
            });
        }
    }

    /** Sends further requests over new connections where those in use go through other members. */
    renewRelayed(): void {
        for (const { client } of this.tracked.values()) {
            if (client.isRelayed) {
                client.renewConnections();
            }
        }
    }

    /** Whether an upstream is listed at an address. */
    hasAddress(address: string): boolean {
        return [...this.tracked.values()].some(({ instance }) => instance.address === address);
    }

    /**
     * Whether the upstream at an address may still get requests that were sent by nodes that did not know of its departure.
     *
     * @param address - host and port
     * @param graceMs - time for which it may after it is known to be leaving or gone, in milliseconds
     */
    isAcceptingAt(address: string, graceMs: number): boolean {
        const isListed = [...this.tracked.values()].some(({ instance }) =>
            instance.address === address && !instance.isLeaving
        );
        return isListed || this.departures.isRecent(address, graceMs);
    }

    /** Counts the upstreams of a service to which connections are opened through other members. */
    countRelayed(service: string): number {
        return this.listInService(service).filter(({ client }) => client.isRelayed).length;
    }

    /** Counts a request to an upstream as in flight. */
    beginRequest(tracked: TrackedInstance): void {
        tracked.inFlight += 1;
        if (tracked.unansweredSinceMs <= tracked.lastReceivedMs) {
            tracked.unansweredSinceMs = this.options.clock.readMonotonicMs();
        }
        this.options.limits.take(tracked.instance);
    }

    /**
     * Ends the count of a request. The connections of a removed upstream are closed with its last request.
     *
     * @param tracked - upstream of the request
     * @param givenUpSentMs - when it was sent, by the monotonic clock, if it was given up after it had been written
     */
    endRequest(tracked: TrackedInstance, givenUpSentMs?: number): void {
        tracked.inFlight -= 1;
        if (givenUpSentMs !== undefined) {
            this.unread.record(tracked, givenUpSentMs);
        }
        if (tracked.inFlight === 0 && this.closing.delete(tracked)) {
            void tracked.client.close();
        }
    }

    /**
     * Ejects an upstream: it gets no new requests for 1 s. To be called after a connection to it failed, or after a
     * request failed over to another upstream.
     */
    eject(tracked: TrackedInstance, reason: string): void {
        tracked.ejectedUntilMs = this.options.clock.readMonotonicMs() + ejectionMs;
        this.options.events.emit(eventKinds.runnerEjected, {
            runner: tracked.instance.id,
            reason,
            durationMs: ejectionMs,
        });
    }

    private readOwnLoad(): ReadonlyMap<string, number> {
        return new Map([...this.tracked.values()].map(({ instance, inFlight }) => [instance.id, inFlight]));
    }

    private update(records: ReadonlyMap<string, UpstreamInstance>): void {
        for (const [id, tracked] of this.tracked) {
            const next = records.get(id);
            if (!next && this.isInGracePeriod(tracked)) {
                continue;
            }
            if (!next || !isSameStart(next, tracked.instance)) {
                this.remove(tracked);
            }
        }
        for (const instance of records.values()) {
            this.applyEntry(instance);
        }
    }

    /**
     * Whether a missing entry may have expired only because the store was unavailable. The first call for an entry
     * starts its grace period, unless the upstream is leaving or the store recovered too long ago.
     */
    private isInGracePeriod(tracked: TrackedInstance): boolean {
        const { clock, feed } = this.options;
        const nowMs = clock.readMonotonicMs();
        if (tracked.missingGraceEndsMs !== undefined) {
            return nowMs < tracked.missingGraceEndsMs;
        }
        if (tracked.instance.isLeaving || feed.readSinceRecoveryMs() > storeRecoveryMs) {
            return false;
        }
        this.departures.record(tracked.instance.address);
        const graceEndsMs = nowMs + missingGraceMs;
        tracked.missingGraceEndsMs = graceEndsMs;
        void clock.sleep(missingGraceMs).then(() => this.endGracePeriod(tracked, graceEndsMs));
        return true;
    }

    /** Removes an entry after its grace period. The timer may fire early, so the end is set to -Infinity first. */
    private endGracePeriod(tracked: TrackedInstance, graceEndsMs: number): void {
        if (tracked.missingGraceEndsMs === graceEndsMs) {
            tracked.missingGraceEndsMs = -Infinity;
            this.update(this.options.feed.records.value ?? new Map());
        }
    }

    private publishStart(topic: ReportTopic<UpstreamStart>, { id, startedAtMs }: UpstreamStart): void {
        this.options.reports.publish(topic, { id, startedAtMs });
    }

    private findStart({ id, startedAtMs }: UpstreamStart): TrackedInstance | undefined {
        const tracked = this.tracked.get(id);
        return tracked?.instance.startedAtMs === startedAtMs ? tracked : undefined;
    }

    private applyLeavingReport(leaving: UpstreamStart): void {
        const tracked = this.findStart(leaving);
        if (tracked && this.notices.markLeaving(tracked.instance)) {
            this.applyNotice(tracked);
        }
    }

    private applyFullReport(full: UpstreamStart): void {
        const tracked = this.findStart(full);
        if (tracked) {
            this.recordRefusal(tracked, brittlePauseMs);
        }
    }

    /** Applies a change of an upstream's notices as if its entry in the store had changed. */
    private applyNotice(tracked: TrackedInstance): void {
        if (this.tracked.get(tracked.instance.id) === tracked) {
            this.applyEntry(tracked.instance);
        }
    }

    /**
     * Applies a listed entry, unless its address cannot be used. An upstream that has stated that it is leaving stays
     * leaving, if its start is known: one that has restarted under the same id is another one.
     */
    private applyEntry(listed: UpstreamInstance): void {
        if (listed.isLeaving && listed.startedAtMs !== undefined) {
            this.notices.markLeaving(listed);
        }
        const instance = this.notices.isLeaving(listed) ? { ...listed, isLeaving: true } : listed;
        if (instance.isLeaving) {
            this.departures.record(instance.address);
        }
        else {
            this.departures.clear(instance.address);
        }
        const before = this.tracked.get(instance.id);
        if (before) {
            before.missingGraceEndsMs = undefined;
        }
        if (before && before.instance.isLeaving === instance.isLeaving) {
            this.tracked.set(instance.id, Object.assign(before, { instance }));
            return;
        }
        const client = before?.client ?? this.tryCreateClient(instance);
        if (!client) {
            return;
        }
        this.options.events.emit(instance.isLeaving ? eventKinds.runnerLeaving : eventKinds.runnerListed, {
            runner: instance.id,
            service: instance.service,
            address: instance.address,
            softwareVersion: instance.softwareVersion,
            leavesInMs: instance.leavesInMs,
        });
        if (before) {
            Object.assign(before, { instance });
            return;
        }
        this.tracked.set(instance.id, createTrackedInstance(instance, client));
    }

    private tryCreateClient(instance: UpstreamInstance): UpstreamClient | undefined {
        const { address } = instance;
        const { createClient = () => new UpstreamClient({ address }) } = this.options;
        return this.rejections.tryCreate(instance, () => createClient(instance));
    }

    private remove(tracked: TrackedInstance): void {
        this.tracked.delete(tracked.instance.id);
        this.departures.record(tracked.instance.address);
        this.options.events.emit(eventKinds.runnerRemoved, { runner: tracked.instance.id });
        if (tracked.inFlight === 0) {
            void tracked.client.close();
        }
        else {
            this.closing.add(tracked);
        }
    }
}

/** Whether two entries of one id are of the same start. Readings of members of older builds state no version. */
const isSameStart = (next: UpstreamInstance, before: UpstreamInstance): boolean =>
    next.address === before.address && next.startedAtMs === before.startedAtMs
    && (next.softwareVersion === before.softwareVersion || next.softwareVersion === undefined
        || before.softwareVersion === undefined);

/** Name of the instance registry service. */
export const instanceRegistryName = createServiceName<InstanceRegistry>("instance-registry");
