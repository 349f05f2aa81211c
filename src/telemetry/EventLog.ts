import type { Logger } from "loglevel";
import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";
import { HybridClock } from "./HybridClock";
import type { EventFields, EventKind, EventRecord } from "./types";

/** Options of {@link EventLog}. */
export interface EventLogOptions {
    readonly node: string;
    readonly clock: Clock;
    /** Logger that receives one JSON line an event; none keeps events in memory only. */
    readonly logger?: Logger;
    /** Number of events kept for the time line; 0 keeps none. Default 4,096. */
    readonly maxRetainedEvents?: number;
}

/** Selects events of a time line. */
export interface EventFilter {
    readonly requestId?: string;
    readonly changeId?: string;
    readonly sinceMs?: number;
    readonly untilMs?: number;
}

const defaultKeptEvents = 4_096;

/** Emits numbered events and keeps the latest of them for the time line. */
export class EventLog {
    readonly hybridClock: HybridClock;
    private readonly kept: EventRecord[] = [];
    private nextSlot = 0;
    private readonly keptEvents: number;
    private readonly counts = new Map<string, number>();

    constructor(private readonly options: EventLogOptions) {
        this.hybridClock = new HybridClock(options.clock);
        this.keptEvents = options.maxRetainedEvents ?? defaultKeptEvents;
    }

    /**
     * Emits an event.
     *
     * @param kind - entry of the event catalogue
     * @param fields - what the event concerns
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
        this.counts.set(kind.name, (this.counts.get(kind.name) ?? 0) + 1);
        if (this.keptEvents > 0) {
            this.kept[this.nextSlot] = record;
            this.nextSlot = (this.nextSlot + 1) % this.keptEvents;
        }
        const logger = this.options.logger;
        if (logger && logger.getLevel() <= logger.levels[kind.level.toUpperCase() as "INFO"]) {
            logger[kind.level](JSON.stringify(record));
        }
    }

    /** How often an event was emitted. */
    count(kind: EventKind): number {
        return this.counts.get(kind.name) ?? 0;
    }

    /**
     * Lists kept events.
     *
     * @param filter - which events
     * @returns the events, in the order of their timestamps
     */
    list(filter: EventFilter = {}): EventRecord[] {
        const ordered = [...this.kept.slice(this.nextSlot), ...this.kept.slice(0, this.nextSlot)];
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

/** Name of the event log service. */
export const eventLogName = createServiceName<EventLog>("event-log");
