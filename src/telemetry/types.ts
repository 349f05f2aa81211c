/** Types of events and hybrid logical timestamps. */

/** Hybrid logical timestamp. */
export interface HybridTime {
    /** Wall-clock time, in milliseconds since the epoch. */
    readonly wallMs: number;
    /** Orders timestamps with the same wall-clock time. */
    readonly counter: number;
}

/** Severity of an event; the names are those of loglevel. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** One entry of the event catalogue. */
export interface EventKind {
    /** Stable number, which identifies the kind in logs and in the catalogue. */
    readonly number: number;
    readonly name: string;
    readonly level: EventLevel;
    /** One-line description for the catalogue. */
    readonly meaning: string;
}

/** Values logged with an event. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** An event as it is logged and shown on the timeline. */
export interface EventRecord {
    /** Number of the event kind. */
    readonly event: number;
    readonly name: string;
    readonly level: EventLevel;
    /** Id of the node that emitted the event. */
    readonly node: string;
    readonly time: HybridTime;
    readonly fields: EventFields;
}
