import type { FeedFollower } from "../feeds/FeedFollower";
import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";
import { isListingCurrent } from "../placement/isListingCurrent";
import type { UpstreamInstance } from "../placement/types";

/** Options of {@link SoftwareVersions}. */
export interface SoftwareVersionsOptions {
    readonly feed: Pick<
        FeedFollower<UpstreamInstance>,
        "records" | "readAgeMs" | "readSinceResumedMs" | "resumedStoreMs"
    >;
    readonly clock: Clock;
    /** Time for which a version that is no longer listed still counts, in milliseconds. */
    readonly readWindowMs: () => number;
}

/** A software version of a service's upstreams. */
export interface KnownVersion {
    readonly version: string;
    readonly isListed: boolean;
    /** Time since it was last listed, in milliseconds; 0 while it is. */
    readonly sinceListedMs: number;
}

const unknownVersion = "";

/** Software versions of the upstreams of each service: those that are listed, and those that were a moment ago. */
export class SoftwareVersions {
    /** For each service, the monotonic time at which each version was last listed; infinite while it is. */
    private readonly lastListedMs = new Map<string, Map<string, number>>();
    private firstListedMs = Infinity;
    /** Latest pause of the readings when the history was complete; versions may have come and gone in a later one. */
    private completedAfter: { readonly pause: number | undefined; } | undefined;
    private readonly listeners: (() => void)[] = [];

    constructor(private readonly options: SoftwareVersionsOptions) {}

    async start(): Promise<void> {
        const { records } = this.options.feed;
        records.onChange(() => this.update());
        this.update();
    }

    /** Registers a listener for changes of what is listed. */
    onChange(listener: () => void): void {
        this.listeners.push(listener);
    }

    /** Names of the services that are known. */
    listServices(): string[] {
        return [...this.lastListedMs.keys()];
    }

    /**
     * Lists the versions of a service that are remembered.
     *
     * @param service - the service
     */
    listVersions(service: string): KnownVersion[] {
        const nowMs = this.options.clock.readMonotonicMs();
        const versions = this.lastListedMs.get(service) ?? new Map<string, number>();
        return [...versions].map(([version, listedMs]) => ({
            version,
            isListed: listedMs === Infinity,
            sinceListedMs: Math.max(0, nowMs - listedMs),
        }));
    }

    /** Adds what the store tells of versions that are no longer listed. Later listings take precedence. */
    addHistory(service: string, version: string, sinceListedMs: number): void {
        const versions = this.getVersions(service);
        const listedMs = this.options.clock.readMonotonicMs() - sinceListedMs;
        versions.set(version, Math.max(versions.get(version) ?? -Infinity, listedMs));
    }

    /**
     * Marks the history before this process, and in the pauses of its readings, as known.
     *
     * @param pause - latest pause when the history was read, as {@link latestPause}
     */
    completeHistory(pause: number | undefined): void {
        this.completedAfter = { pause };
    }

    /** Tells the latest pause of the readings from others; undefined if there was none. */
    get latestPause(): number | undefined {
        return this.options.feed.resumedStoreMs;
    }

    /** Whether no version that a stream may have begun at is missing, other than those that joined since the last reading. */
    hasWholeHistory(): boolean {
        const { clock, feed, readWindowMs } = this.options;
        const observedMs = Math.min(clock.readMonotonicMs() - this.firstListedMs, feed.readSinceResumedMs());
        const isCompleted = this.completedAfter !== undefined
            && this.completedAfter.pause === this.latestPause;
        return isCompleted || observedMs >= readWindowMs();
    }

    /** Whether a stream of a service that goes on now may have begun at another version than one that begins now. */
    isMixed(service: string): boolean {
        return this.listRecent(service).length !== 1;
    }

    /**
     * Returns the version at which every stream of a service that may go on now has begun.
     *
     * @param service - the service
     * @returns undefined if there are several, or if a further one cannot be ruled out
     */
    findSole(service: string): string | undefined {
        const [version, ...others] = this.listRecent(service);
        return this.isCurrent() && others.length === 0 && version !== unknownVersion ? version : undefined;
    }

    /** Whether what is listed is up to date, and the history whole. */
    isCurrent(): boolean {
        return this.hasWholeHistory() && isListingCurrent(this.options.feed);
    }

    /** Lists the versions at which a stream of a service that may go on now can have begun. */
    listRecent(service: string): string[] {
        const windowMs = this.options.readWindowMs();
        return this.listVersions(service)
            .filter(({ sinceListedMs }) => sinceListedMs < windowMs)
            .map(({ version }) => version);
    }

    private update(): void {
        const records = this.options.feed.records.value;
        if (!records) {
            return;
        }
        const nowMs = this.options.clock.readMonotonicMs();
        this.firstListedMs = Math.min(this.firstListedMs, nowMs);
        for (const versions of this.lastListedMs.values()) {
            versions.forEach((listedMs, version) => versions.set(version, Math.min(listedMs, nowMs)));
        }
        for (const { service, softwareVersion } of records.values()) {
            this.getVersions(service).set(softwareVersion ?? unknownVersion, Infinity);
        }
        this.listeners.forEach(listener => listener());
    }

    private getVersions(service: string): Map<string, number> {
        const versions = this.lastListedMs.get(service) ?? new Map<string, number>();
        this.lastListedMs.set(service, versions);
        return versions;
    }
}

/** Name of the software versions service. */
export const softwareVersionsName = createServiceName<SoftwareVersions>("software-versions");
