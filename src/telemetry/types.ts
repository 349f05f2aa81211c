/** Shapes of events and hybrid logical timestamps. */

/** Hybrid logical timestamp: wall-clock milliseconds, a counter for ties. */
export interface HybridTime {
    readonly wallMs: number;
    readonly counter: number;
}

/** Severity of an event; the names are those of loglevel. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** One entry of the event catalogue. */
export interface EventKind {
    readonly number: number;
    readonly name: string;
    readonly level: EventLevel;
    readonly meaning: string;
}

/** Fields attached to an event. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** An event as it is logged and shown on the time line. */
export interface EventRecord {
    readonly event: number;
    readonly name: string;
    readonly level: EventLevel;
    readonly node: string;
    readonly time: HybridTime;
    readonly fields: EventFields;
}
