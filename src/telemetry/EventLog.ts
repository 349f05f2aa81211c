import type { Logger } from "loglevel";
import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";
import { HybridClock } from "./HybridClock";
import type { EventFields, EventKind, EventRecord } from "./types";

/** Options of {@link EventLog}. */
export interface EventLogOptions {
    /** Id of the node that emits the events. */
    readonly node: string;
    readonly clock: Clock;
    /** Logger that receives one line of JSON per event; without it, events are only retained in memory. */
    readonly logger?: Logger;
    /** Number of most recent events retained for the timeline; 0 retains none. Default 4,096. */
    readonly maxRetainedEvents?: number;
}

/** Selects events of the timeline; an event must meet every condition that is set. */
export interface EventFilter {
    readonly requestId?: string;
    readonly changeId?: string;
    /** Earliest wall-clock time, inclusive, in milliseconds since the epoch. */
    readonly sinceMs?: number;
    /** Latest wall-clock time, inclusive, in milliseconds since the epoch. */
    readonly untilMs?: number;
}

const defaultMaxRetainedEvents = 4_096;

/** Emits events and retains the most recent ones in a ring buffer for the timeline. */
export class EventLog {
    /** Clock that timestamps the events; peers advance it with the timestamps of received messages. */
    readonly hybridClock: HybridClock;
    private readonly retainedEvents: EventRecord[] = [];
    private nextIndex = 0;
    private readonly maxRetainedEvents: number;
    private readonly countsByName = new Map<string, number>();

    constructor(private readonly options: EventLogOptions) {
        this.hybridClock = new HybridClock(options.clock);
        this.maxRetainedEvents = options.maxRetainedEvents ?? defaultMaxRetainedEvents;
    }

    /**
     * Timestamps, counts, retains and logs an event.
     *
     * @param kind - entry of the event catalogue
     * @param fields - values logged with the event, such as the id of the request it concerns
     */
    emit(kind: EventKind, fields: EventFields = {}): void {
        const record: EventRecord = {
            event: kind.number,
            name: kind.name,
            level: kind.level,
            node: this.options.node,
            time: this.hybridClock.tick(),
            fields,
        };
        this.countsByName.set(kind.name, (this.countsByName.get(kind.name) ?? 0) + 1);
        if (this.maxRetainedEvents > 0) {
            this.retainedEvents[this.nextIndex] = record;
            this.nextIndex = (this.nextIndex + 1) % this.maxRetainedEvents;
        }
        const logger = this.options.logger;
        if (logger && logger.getLevel() <= logger.levels[kind.level.toUpperCase() as "INFO"]) {
            logger[kind.level](JSON.stringify(record));
        }
    }

    /** Returns how often events of a kind were emitted. */
    count(kind: EventKind): number {
        return this.countsByName.get(kind.name) ?? 0;
    }

    /**
     * Lists the retained events that match a filter.
     *
     * @param filter - conditions; default: all retained events
     * @returns the events, oldest first
     */
    list(filter: EventFilter = {}): EventRecord[] {
        const ordered = [
            ...this.retainedEvents.slice(this.nextIndex),
            ...this.retainedEvents.slice(0, this.nextIndex),
        ];
        return ordered.filter(record => matchesFilter(record, filter));
    }
}

const matchesFilter = (record: EventRecord, filter: EventFilter): boolean => {
    if (filter.requestId !== undefined && record.fields.requestId !== filter.requestId) {
        return false;
    }
    if (filter.changeId !== undefined && record.fields.changeId !== filter.changeId) {
        return false;
    }
    if (filter.sinceMs !== undefined && record.time.wallMs < filter.sinceMs) {
        return false;
    }
    return filter.untilMs === undefined || record.time.wallMs <= filter.untilMs;
};

/** Name under which the event log is registered as a service. */
export const eventLogName = createServiceName<EventLog>("event-log");
