import { GrowingAllowance } from "../_lib/GrowingAllowance";

const events = { initial: 1_024, perS: 100 } as const;
const bytes = { initial: 262_144, perS: 8_192 } as const;
const eventsPerContent = 16; // comments between two events
const bytesPerContent = 1_024; // of such comments
const bytesPerRepeated = 1_024;
const maxRepeatedEvents = 100_000;

/**
 * Limits events that tell the caller nothing: comments, blank lines, events without data, and those that are skipped since
 * their id is not new. The limit grows with time and with each event that has data.
 */
export class QuietEventLimit {
    private readonly events: GrowingAllowance;
    private readonly bytes: GrowingAllowance;
    /** Whether the limit has been passed. */
    isPassed = false;

    /** @param repeated - number of events that a sound stream may repeat at its beginning */
    constructor(repeated: number) {
        const count = Math.min(Math.max(0, repeated), maxRepeatedEvents);
        this.events = new GrowingAllowance({ ...events, initial: events.initial + count });
        this.bytes = new GrowingAllowance({ ...bytes, initial: bytes.initial + count * bytesPerRepeated });
    }

    /** Records an event that tells nothing. */
    recordQuiet(length: number): void {
        const isWithinCount = this.events.take(1);
        const isWithinBytes = this.bytes.take(length);
        this.isPassed ||= !isWithinCount || !isWithinBytes;
    }

    /** Records an event with data. */
    recordContent(): void {
        this.events.take(-eventsPerContent);
        this.bytes.take(-bytesPerContent);
    }
}
