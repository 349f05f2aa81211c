import { z } from "zod";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { waitWithTimeout } from "../kernel/waitWithTimeout";
import type { PeerReports, ReportTopic } from "../peers/PeerReports";
import { formatStartKey } from "../placement/formatStartKey";
import type { UpstreamStart } from "../placement/types";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { CrashLedger } from "./CrashLedger";
import type { QuarantineRecords } from "./QuarantineRecords";
import { RepeatLedger } from "./RepeatLedger";
import type { BrokenPrompt, BrokenRequest, RequestTraits } from "./types";

/** Options of {@link CrashQuarantine}. */
export interface CrashQuarantineOptions {
    readonly reports: Pick<PeerReports, "publish" | "listen">;
    readonly records: Pick<QuarantineRecords, "listen" | "listAges" | "write">;
    /** Whether this node tells the others and the store what is quarantined. */
    readonly isTeller: () => boolean;
    readonly clock: Clock;
    readonly events: EventLog;
}

/** A request that broke off, as it is told. Nodes of earlier versions leave the optional fields out. */
interface ToldRequest extends BrokenPrompt {
    readonly identity?: string;
    readonly ranMs?: number;
    /** Time since the break, in milliseconds. */
    readonly agoMs?: number;
}

interface UnreportedBreak {
    readonly request: BrokenRequest;
    readonly brokeMs: number;
}

interface CrashReport {
    readonly upstream: string;
    readonly requests: readonly ToldRequest[];
}

interface QuarantineNotice {
    readonly id: string;
    /** Time since the quarantine began, in milliseconds. */
    readonly ageMs: number;
}

const maxIdLength = 200;
const maxPartsPerRequest = 32;
const maxRequestsPerReport = 128;
const maxNotices = 256;
const maxSoundParts = 1_024;
const idSchema = z.string().max(maxIdLength);
const ageSchema = z.number().nonnegative();

const crashTopic: ReportTopic<CrashReport> = {
    name: "upstream-crash",
    schema: z.object({
        upstream: z.string(),
        requests: z.array(z.object({
            key: idSchema,
            partIds: z.array(idSchema).max(maxPartsPerRequest),
            hasBegun: z.boolean(),
            identity: idSchema.optional(),
            ranMs: ageSchema.optional(),
            agoMs: ageSchema.optional(),
        })).max(maxRequestsPerReport),
    }),
};
const aliveTopic: ReportTopic<{ readonly upstream: string; }> = {
    name: "upstream-alive",
    schema: z.object({ upstream: z.string() }),
};
const soundTopic: ReportTopic<readonly string[]> = {
    name: "sound-prompt-parts",
    schema: z.array(idSchema).max(maxSoundParts),
};
const quarantineTopic: ReportTopic<readonly QuarantineNotice[]> = {
    name: "quarantined-parts",
    schema: z.array(z.object({ id: idSchema, ageMs: ageSchema })).max(maxNotices),
};

const holdMs = 1_800_000; // until it may be tried again whether the upstreams still crash
const batchMs = 50; // the connections to an upstream that crashes break off within a few ms
const idleCheckMs = 10_000;
const checkMs = 200; // after a crash
const announceMs = 1_000;
const decisionMs = 10_000; // after the last crash; what is known by then does not suffice
const startTimeoutMs = 300;
const identityPrefix = "request:"; // sets the ids of requests apart from those of parts

/**
 * Keeps requests away from upstreams that they crash, by a part of their prompt or by being what they are. The nodes
 * tell each other which requests were under way when an upstream broke off, which parts and requests are sound, and
 * which are quarantined; see {@link CrashLedger} and {@link RepeatLedger} for the decision. Requests that may be the
 * cause of several crashes are to be sent to one upstream only, so that the others go on and clear what is sound. What
 * is quarantined is kept in the store.
 */
export class CrashQuarantine {
    private readonly ledger = new CrashLedger();
    private readonly repeats = new RepeatLedger();
    /** Monotonic time at which the quarantine of each part and request began, in milliseconds. */
    private readonly sinceMs = new Map<string, number>();
    /** Parts and requests that may be the cause of several crashes. */
    private suspects: ReadonlySet<string> = new Set();
    private readonly unreportedBreaks = new Map<string, UnreportedBreak[]>();
    private readonly unreportedSound = new Set<string>();
    private readonly scope: TaskScope;
    private wake: () => void = () => {};
    private wakeKeeper: () => void = () => {};

    constructor(private readonly options: CrashQuarantineOptions) {
        this.scope = createLoggedTaskScope(options.events);
    }

    /** Starts, and waits a moment for what is stored. */
    async start(): Promise<void> {
        const { reports, records, clock } = this.options;
        reports.listen(crashTopic, ({ upstream, requests }) => this.recordCrash(upstream, requests));
        reports.listen(aliveTopic, ({ upstream }) => void this.ledger.markAlive(upstream));
        reports.listen(soundTopic, ids => ids.forEach(id => void this.markSound(id)));
        reports.listen(quarantineTopic, notices => notices.forEach(notice => this.adopt(notice)));
        const loaded = new Promise<void>(resolve => {
            records.listen(agesMs => {
                agesMs.forEach((ageMs, id) => this.adopt({ id, ageMs }));
                resolve();
            });
        });
        this.scope.run("quarantine-records", signal => this.keepRecords(signal));
        this.scope.run("prompt-quarantine", signal => this.run(signal));
        await waitWithTimeout({ clock, promises: [loaded], timeoutMs: startTimeoutMs });
    }

    async stop(): Promise<void> {
        this.wake();
        this.wakeKeeper();
        await this.scope.cancel();
    }

    /** Number of quarantined parts and requests. */
    get size(): number {
        return this.sinceMs.size;
    }

    /**
     * Returns how long a request is still refused.
     *
     * @returns milliseconds; undefined if neither the request nor a part of its prompt is quarantined
     */
    readRemainingMs(traits: RequestTraits): number | undefined {
        if (this.sinceMs.size === 0) {
            return undefined;
        }
        const nowMs = this.options.clock.readMonotonicMs();
        const endsMs = listIds(traits).map(id => (this.sinceMs.get(id) ?? -Infinity) + holdMs);
        const remainingMs = Math.max(...endsMs) - nowMs;
        return remainingMs > 0 ? remainingMs : undefined;
    }

    /** Finds by what a request may be the cause of several crashes: by itself, or by the last such part of its prompt. */
    findSuspect(traits: RequestTraits): string | undefined {
        return this.suspects.size === 0
            ? undefined
            : listIds(traits).filter(id => this.suspects.has(id)).at(-1);
    }

    /** Records a request whose connection to an upstream broke off. */
    recordBreak(upstream: UpstreamStart, broken: BrokenRequest): void {
        const partIds = broken.partIds.filter(id => id.length <= maxIdLength).slice(0, maxPartsPerRequest);
        const request = { ...broken, partIds, key: broken.key.slice(0, maxIdLength) };
        const key = formatStartKey(upstream);
        const breaks = this.unreportedBreaks.get(key) ?? [];
        this.unreportedBreaks.set(key, breaks);
        breaks.push({ request, brokeMs: this.options.clock.readMonotonicMs() });
        this.recordCrash(key, [request]);
        this.wake();
    }

    /**
     * Records that data arrive from an upstream.
     *
     * @param upstream - the upstream
     * @param sentMs - monotonic time at which the request that the data answer was sent, in milliseconds
     */
    observeData(upstream: UpstreamStart, sentMs: number): void {
        const nowMs = this.options.clock.readMonotonicMs();
        if (!this.ledger.isAwaitingSigns(nowMs)) {
            return;
        }
        const key = formatStartKey(upstream);
        if (this.ledger.observeData(key, sentMs, nowMs)) {
            this.options.reports.publish(aliveTopic, { upstream: key });
        }
    }

    /** Whether an upstream may have crashed since a monotonic time, in milliseconds. */
    hasCrashSince(sinceMs: number): boolean {
        return this.ledger.lastRecordMs > sinceMs;
    }

    /** Records that an upstream answers a request and does not crash. */
    recordSound(traits: RequestTraits): void {
        const { partIds } = traits;
        const identity = this.repeats.isEmpty() ? undefined : traits.identity;
        for (const id of listIds({ partIds, identity })) {
            if (this.markSound(id)) {
                this.unreportedSound.add(id);
                this.wake();
            }
        }
    }

    private markSound(id: string): boolean {
        return id.startsWith(identityPrefix) ? this.repeats.markSound(id) : this.ledger.markSound(id);
    }

    private recordCrash(upstream: string, requests: readonly ToldRequest[]): void {
        const nowMs = this.options.clock.readMonotonicMs();
        for (const { identity, ranMs = 0, agoMs = 0 } of requests) {
            if (identity !== undefined) {
                const brokeMs = nowMs - agoMs;
                this.repeats.record(identityPrefix + identity, {
                    upstream,
                    beganMs: brokeMs - ranMs,
                    brokeMs,
                });
            }
        }
        if (this.ledger.record(upstream, requests, nowMs)) {
            this.options.events.emit(eventKinds.upstreamBrokeOff, { upstream });
            this.wake();
        }
    }

    private adopt({ id, ageMs }: QuarantineNotice): void {
        const sinceMs = this.options.clock.readMonotonicMs() - ageMs;
        if (ageMs < holdMs && !this.sinceMs.has(id) && this.sinceMs.size < maxNotices) {
            this.sinceMs.set(id, sinceMs);
            this.options.events.emit(eventKinds.promptPartQuarantined, { part: id, source: "told" });
            this.wakeKeeper();
        }
    }

    /** Releases parts in time, and tells the other nodes and the store what is quarantined if that is this node's part. */
    private *keepRecords(signal: AbortSignal): Task<void> {
        const { clock, isTeller } = this.options;
        while (!signal.aborted) {
            const changed = new Promise<void>(resolve => {
                this.wakeKeeper = resolve;
            });
            this.releaseEnded();
            if (isTeller()) {
                this.announce();
                yield* waitFor(this.writeRecords());
            }
            const timeoutMs = this.sinceMs.size === 0 ? idleCheckMs : announceMs;
            yield* waitFor(waitWithTimeout({ clock, promises: [changed], timeoutMs }));
        }
    }

    private *run(signal: AbortSignal): Task<void> {
        const { clock } = this.options;
        while (!signal.aborted) {
            const woken = new Promise<void>(resolve => {
                this.wake = resolve;
            });
            if (this.unreportedBreaks.size === 0 && this.unreportedSound.size === 0) {
                const isUnsettled = this.ledger.isUnsettled(clock.readMonotonicMs());
                const timeoutMs = isUnsettled ? checkMs : idleCheckMs;
                yield* waitFor(waitWithTimeout({ clock, promises: [woken], timeoutMs }));
            }
            yield* waitFor(clock.sleep(batchMs, signal));
            this.publishObservations();
            this.decide();
            this.ledger.expire(clock.readMonotonicMs());
            this.repeats.expire(clock.readMonotonicMs());
        }
    }

    private publishObservations(): void {
        const { reports, clock } = this.options;
        const nowMs = clock.readMonotonicMs();
        for (const [upstream, breaks] of this.unreportedBreaks) {
            const told = breaks.slice(0, maxRequestsPerReport);
            const requests = told.map(({ request, brokeMs }) => ({ ...request, agoMs: nowMs - brokeMs }));
            reports.publish(crashTopic, { upstream, requests });
        }
        this.unreportedBreaks.clear();
        if (this.unreportedSound.size > 0) {
            reports.publish(soundTopic, [...this.unreportedSound].slice(0, maxSoundParts));
            this.unreportedSound.clear();
        }
    }

    private decide(): void {
        const nowMs = this.options.clock.readMonotonicMs();
        const isKnown = (id: string): boolean => this.sinceMs.has(id);
        const isAlive = (upstream: string): boolean => this.ledger.isAlive(upstream);
        this.suspects = new Set([
            ...this.ledger.listSuspects(nowMs, isKnown),
            ...this.repeats.listSuspects(nowMs, isAlive),
        ]);
        if (nowMs - this.ledger.lastRecordMs > decisionMs) {
            return;
        }
        const request = this.repeats.findCrashingRequest(nowMs, isKnown, isAlive);
        if (request) {
            this.refuse(request.identity, { upstreams: request.upstreams, requests: 1 });
        }
        const part = this.ledger.findCrashingPart(nowMs, isKnown);
        if (part) {
            this.refuse(part.id, { upstreams: part.upstreams, requests: part.requests });
        }
    }

    private refuse(id: string, reason: Readonly<Record<"upstreams" | "requests", number>>): void {
        if (this.sinceMs.size >= maxNotices) {
            return;
        }
        this.sinceMs.set(id, this.options.clock.readMonotonicMs());
        this.options.events.emit(eventKinds.promptPartQuarantined, {
            part: id,
            source: "decided",
            ...reason,
        });
        this.options.reports.publish(quarantineTopic, [{ id, ageMs: 0 }]);
        this.wakeKeeper();
    }

    private announce(): void {
        if (this.sinceMs.size > 0) {
            const nowMs = this.options.clock.readMonotonicMs();
            const notices = [...this.sinceMs].map(([id, sinceMs]) => ({ id, ageMs: nowMs - sinceMs }));
            this.options.reports.publish(quarantineTopic, notices);
        }
    }

    private releaseEnded(): void {
        const nowMs = this.options.clock.readMonotonicMs();
        for (const [id, sinceMs] of this.sinceMs) {
            if (nowMs - sinceMs >= holdMs) {
                this.sinceMs.delete(id);
                this.options.events.emit(eventKinds.promptPartReleased, { part: id });
            }
        }
    }

    private async writeRecords(): Promise<void> {
        const { records, clock } = this.options;
        const nowMs = clock.readMonotonicMs();
        const stored = records.listAges();
        const missing = [...this.sinceMs].filter(([id]) => !stored.has(id));
        const ended = [...stored].filter(([, ageMs]) => ageMs >= holdMs).map(([id]) => id);
        await records.write(new Map(missing.map(([id, sinceMs]) => [id, nowMs - sinceMs])), ended);
    }
}

/** Lists the ids of a request's traits. Callers choose the ids of parts; none stands for a request. */
const listIds = ({ partIds, identity }: RequestTraits): readonly string[] => {
    const parts = partIds.filter(id => !id.startsWith(identityPrefix));
    return identity === undefined ? parts : [...parts, identityPrefix + identity];
};

/** Name of the crash quarantine service. */
export const crashQuarantineName = createServiceName<CrashQuarantine>("prompt-quarantine");
