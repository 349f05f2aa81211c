import type { EventRecord } from "../telemetry/types";

const columnGap = 2;
const levelMarks = { debug: ".", info: "o", warn: "!", error: "X" } as const;

/**
 * Formats events as a timeline with one column per node and one row per event. A row shows the time since the first
 * event in milliseconds, a mark for the level in the column of the node, and the number, name and fields of the event.
 *
 * @param events - events from the earliest to the latest
 * @returns the timeline
 */
export const formatTimeline = (events: readonly EventRecord[]): string => {
    if (events.length === 0) {
        return "no events";
    }
    const nodeIds = [...new Set(events.map(event => event.node))].sort();
    const width = Math.max(...nodeIds.map(node => node.length)) + columnGap;
    const startMs = events[0].time.wallMs;
    const head = `${"ms".padStart(8)}  ${nodeIds.map(node => node.padEnd(width)).join("")}event`;
    const rows = events.map(event => {
        const columns = nodeIds.map(node =>
            (node === event.node ? levelMarks[event.level] : "|").padEnd(width)
        )
            .join("");
        const elapsed = String(event.time.wallMs - startMs).padStart(8);
        return `${elapsed}  ${columns}${event.event} ${event.name} ${formatFields(event)}`.trimEnd();
    });
    return [head, ...rows].join("\n");
};

const formatFields = (event: EventRecord): string =>
    Object.entries(event.fields)
        .filter(([, value]) => value !== undefined)
        .map(([name, value]) => `${name}=${String(value)}`)
        .join(" ");
