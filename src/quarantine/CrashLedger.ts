import { dropOldest } from "../_lib/dropOldest";
import type { BrokenPrompt, CrashingPart } from "./types";

/** Requests with one part that broke off at one upstream. */
interface BrokenPart {
    /** Keys of the requests. */
    readonly requestKeys: Set<string>;
    /** Whether any of their answers had begun. */
    hasBegun: boolean;
}

/** What is known about one upstream at which requests broke off. */
interface CrashRecord {
    readonly atMs: number;
    /** Parts of the requests that broke off there, but those known to be sound. */
    readonly parts: Map<string, BrokenPart>;
    /** Parts with which an answer went on or was completed after the crash. */
    readonly soundParts: Set<string>;
    requestCount: number;
    /** Whether the upstream was seen at work afterwards, so that it had not crashed. */
    isAlive: boolean;
}

/** What the crashes say about one part. */
interface Evidence {
    readonly crashes: CrashRecord[];
    readonly begunCrashes: CrashRecord[];
    /** Keys of the requests with the part that broke off. */
    readonly requestKeys: Set<string>;
}

const settleMs = 500; // an upstream that works on shows it within this time
const earliestSignMs = 200; // data that answer an earlier request and arrive sooner may have been sent before the crash
const latestSignMs = 2_000; // later, another start may answer at the same address
const minObservedMs = 2_000; // time for an answer with a sound part to go well at another upstream
const sameEventMs = 150; // crashes this close may have one cause, such as the loss of a rack
const minEvents = 3;
const minEventsUnbegun = 5;
const minRequests = 3; // one request may have met several crashes by its retries
const suspectEvents = 2;
const suspectMs = 30_000; // from the first of the crashes; parts that are seldom asked for are not cleared soon
const keptMs = 600_000;
const maxRecords = 256;
const maxRequests = 512; // of one crash, over all nodes

/**
 * Finds the prompt parts that crash upstreams, from the requests that were under way at each crash.
 *
 * A part counts as the cause if upstreams crashed at several different moments under different requests with it whose
 * answers had just begun, and no answer to a request with it went well since. Sound parts that were under way beside it
 * are told apart by such answers, or because another part explains the crash.
 */
export class CrashLedger {
    /** Records by start of an upstream; each start can crash once. */
    private readonly records = new Map<string, CrashRecord>();

    /** Monotonic time of the latest record, in milliseconds. */
    lastRecordMs = -Infinity;

    /** Whether a crash is recent enough for suspects, so that time alone may change what is concluded. */
    isUnsettled(nowMs: number): boolean {
        return nowMs - this.lastRecordMs <= suspectMs;
    }

    /**
     * Records requests that broke off at an upstream.
     *
     * @param upstream - key of the upstream's start
     * @param requests - the requests
     * @param nowMs - current monotonic time, in milliseconds
     * @returns whether this begins a new record
     */
    record(upstream: string, requests: readonly BrokenPrompt[], nowMs: number): boolean {
        const known = this.records.get(upstream);
        const isNew = !known || nowMs - known.atMs > latestSignMs;
        const record = isNew ? createRecord(nowMs) : known;
        if (isNew) {
            this.records.delete(upstream);
            this.records.set(upstream, record);
        }
        requests.forEach(request => addRequest(record, request));
        this.lastRecordMs = nowMs;
        dropOldest(this.records, maxRecords);
        return isNew;
    }

    /**
     * Records that an upstream sends data.
     *
     * @param upstream - key of the upstream's start
     * @param sentMs - monotonic time at which the request that the data answer was sent, in milliseconds
     * @param nowMs - current monotonic time, in milliseconds
     * @returns whether that shows that it has not crashed, which was not known
     */
    observeData(upstream: string, sentMs: number, nowMs: number): boolean {
        const record = this.records.get(upstream);
        if (!record || record.isAlive) {
            return false;
        }
        const sinceMs = nowMs - record.atMs;
        const isLater = sentMs > record.atMs || sinceMs >= earliestSignMs;
        return isLater && sinceMs <= latestSignMs && this.markAlive(upstream);
    }

    /** Whether an upstream was seen at work after requests broke off there. */
    isAlive(upstream: string): boolean {
        return this.records.get(upstream)?.isAlive ?? false;
    }

    /** Records that an upstream has not crashed; returns whether that is new. */
    markAlive(upstream: string): boolean {
        const record = this.records.get(upstream);
        if (!record || record.isAlive) {
            return false;
        }
        record.isAlive = true;
        return true;
    }

    /**
     * Records that an upstream answers a request with a part and does not crash.
     *
     * @returns whether that says something new about earlier crashes
     */
    markSound(partId: string): boolean {
        let isNew = false;
        for (const record of this.records.values()) {
            if (record.parts.delete(partId)) {
                record.soundParts.add(partId);
                isNew = true;
            }
        }
        return isNew;
    }

    /** Whether data from an upstream may show now that it has not crashed. */
    isAwaitingSigns(nowMs: number): boolean {
        return nowMs - this.lastRecordMs <= latestSignMs;
    }

    /**
     * Finds the part that explains most crashes.
     *
     * @param nowMs - current monotonic time, in milliseconds
     * @param isKnown - whether a part is known to crash upstreams; crashes under it need no other explanation
     * @returns the part; undefined if no part meets the conditions yet
     */
    findCrashingPart(nowMs: number, isKnown: (partId: string) => boolean): CrashingPart | undefined {
        const settled = this.listUnexplained(isKnown).filter(({ atMs }) => nowMs - atMs >= settleMs);
        const evidence = collectEvidence(settled);
        const candidates = [...evidence].filter(([, found]) => isSufficient(found, nowMs));
        const found = selectSpecific(candidates).filter(([, candidate]) =>
            ![...evidence.values()].some(other => hasMoreCrashes(other, candidate))
        );
        const [best] = found.sort(([, a], [, b]) =>
            countEvents(b.crashes) - countEvents(a.crashes) || b.requestKeys.size - a.requestKeys.size
        );
        return best && { id: best[0], upstreams: best[1].crashes.length, requests: best[1].requestKeys.size };
    }

    /**
     * Lists the parts that may be the cause of several crashes.
     *
     * @param nowMs - current monotonic time, in milliseconds
     * @param isKnown - whether a part is known to crash upstreams
     */
    listSuspects(nowMs: number, isKnown: (partId: string) => boolean): string[] {
        const recent = this.listUnexplained(isKnown).filter(({ atMs }) => nowMs - atMs <= suspectMs);
        const suspects = [...collectEvidence(recent)]
            .filter(([, { begunCrashes }]) => countEvents(begunCrashes) >= suspectEvents);
        return selectSpecific(suspects).map(([partId]) => partId);
    }

    /** Drops old records. */
    expire(nowMs: number): void {
        for (const [upstream, record] of this.records) {
            if (nowMs - record.atMs > keptMs) {
                this.records.delete(upstream);
            }
        }
    }

    private listUnexplained(isKnown: (partId: string) => boolean): CrashRecord[] {
        return [...this.records.values()].filter(record =>
            !record.isAlive && ![...record.parts.keys()].some(isKnown)
        );
    }
}

const createRecord = (atMs: number): CrashRecord => ({
    atMs,
    parts: new Map(),
    soundParts: new Set(),
    requestCount: 0,
    isAlive: false,
});

const addRequest = (record: CrashRecord, { key, partIds, hasBegun }: BrokenPrompt): void => {
    record.requestCount += 1;
    if (record.requestCount > maxRequests) {
        return;
    }
    for (const partId of partIds.filter(id => !record.soundParts.has(id))) {
        const known = record.parts.get(partId);
        if (known) {
            known.requestKeys.add(key);
            known.hasBegun ||= hasBegun;
        }
        else {
            record.parts.set(partId, { requestKeys: new Set([key]), hasBegun });
        }
    }
};

const collectEvidence = (records: readonly CrashRecord[]): Map<string, Evidence> => {
    const evidence = new Map<string, Evidence>();
    for (const record of records) {
        for (const [partId, { requestKeys, hasBegun }] of record.parts) {
            const found = evidence.get(partId) ?? { crashes: [], begunCrashes: [], requestKeys: new Set() };
            evidence.set(partId, found);
            found.crashes.push(record);
            if (hasBegun) {
                found.begunCrashes.push(record);
            }
            requestKeys.forEach(key => found.requestKeys.add(key));
        }
    }
    return evidence;
};

const isSufficient = ({ crashes, begunCrashes, requestKeys }: Evidence, nowMs: number): boolean =>
    (countEvents(begunCrashes) >= minEvents || countEvents(crashes) >= minEventsUnbegun)
    && requestKeys.size >= minRequests
    && nowMs - Math.min(...crashes.map(({ atMs }) => atMs)) >= minObservedMs;

/** Counts the crashes, those that follow each other closely as one. */
const countEvents = (crashes: readonly CrashRecord[]): number => {
    const timesMs = crashes.map(({ atMs }) => atMs).sort((a, b) => a - b);
    return timesMs.filter((atMs, index) => index === 0 || atMs - timesMs[index - 1] > sameEventMs).length;
};

/** Leaves parts out that merely accompany another part: each request with the other one has them too. */
const selectSpecific = (found: readonly (readonly [string, Evidence])[]): (readonly [string, Evidence])[] =>
    found.filter(([, { requestKeys }]) =>
        !found.some(([, other]) => isProperSubset(other.requestKeys, requestKeys))
    );

/** Whether a part explains more crashes than another one, and not only because it accompanies that one. */
const hasMoreCrashes = (found: Evidence, other: Evidence): boolean =>
    found.crashes.length > other.crashes.length && !isProperSubset(other.requestKeys, found.requestKeys);

const isProperSubset = (subset: ReadonlySet<string>, whole: ReadonlySet<string>): boolean =>
    subset.size < whole.size && [...subset].every(key => whole.has(key));
