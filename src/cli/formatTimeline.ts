import type { EventRecord } from "../telemetry/types";

const columnGap = 2;
const marks = { debug: ".", info: "o", warn: "!", error: "X" } as const;

/**
 * Draws events of all nodes as a time line: one column a node, one row an event.
 *
 * @param events - in the order of their timestamps
 * @returns the drawing
 */
export const formatTimeline = (events: readonly EventRecord[]): string => {
    if (events.length === 0) {
        return "no events";
    }
    const nodes = [...new Set(events.map(event => event.node))].sort();
    const width = Math.max(...nodes.map(node => node.length)) + columnGap;
    const startMs = events[0].time.wallMs;
    const head = `${"ms".padStart(8)}  ${nodes.map(node => node.padEnd(width)).join("")}event`;
    const rows = events.map(event => {
        const columns = nodes.map(node => (node === event.node ? marks[event.level] : "|").padEnd(width))
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
