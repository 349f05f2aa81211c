import { Duplex } from "node:stream";
import { InputScheduler } from "./InputScheduler";

const kibibyte = 1_024;

const createStream = (): Duplex => new Duplex({ read: () => {}, write: (_chunk, _encoding, done) => done() });

/** Waits for the next turn of the event loop, in which waiting input has been served. */
const waitForTurn = async (): Promise<void> => {
    await new Promise(resolve => setImmediate(resolve));
    await new Promise(resolve => setImmediate(resolve));
};

describe("InputScheduler", () => {
    let nowMs: number;
    let scheduler: InputScheduler;
    let heard: string[];

    beforeEach(() => {
        nowMs = 1_000;
        heard = [];
        scheduler = new InputScheduler({ clock: { readMonotonicMs: () => nowMs } });
    });

    /** Lets a stream be read as undici does: whatever there is, each read taking some time. */
    const follow = (stream: Duplex, name: string, readMs: number): Buffer[] => {
        const received: Buffer[] = [];
        stream.on("readable", () => {
            for (let bytes = stream.read() as Buffer | null; bytes !== null; bytes = stream.read()) {
                received.push(bytes);
                heard.push(name);
                nowMs += readMs;
            }
        });
        return received;
    };

    it("passes all bytes on in order, in slices, and then the end", async () => {
        const stream = createStream();
        scheduler.add(stream);
        const received = follow(stream, "a", 3);
        const ended = new Promise(resolve => stream.on("end", resolve));
        const sent = Buffer.from(Array.from({ length: 100 * kibibyte }, (_value, index) => index % 251));
        stream.push(sent);
        stream.push(null);
        await ended;
        expect(Buffer.concat(received).equals(sent)).toBe(true);
        expect(Math.max(...received.map(({ length }) => length))).toBe(8 * kibibyte);
        expect(scheduler.waitingCount).toBe(0);
    });

    it("lets input wait for the next turn once reading has taken its time, and reads it in turns", async () => {
        const [first, second] = [createStream(), createStream()];
        scheduler.add(first);
        scheduler.add(second);
        follow(first, "first", 3);
        follow(second, "second", 3);
        first.push(Buffer.alloc(64 * kibibyte));
        second.push(Buffer.alloc(64 * kibibyte));
        await new Promise(resolve => process.nextTick(resolve));
        expect(heard.length).toBeLessThan(4);
        expect(scheduler.waitingCount).toBe(2);
        for (let turn = 0; turn < 8; turn += 1) {
            await waitForTurn();
        }
        expect(heard).toHaveLength(16);
        const halfway = heard.slice(0, 8);
        expect(halfway.filter(name => name === "first").length).toBeGreaterThanOrEqual(3);
        expect(halfway.filter(name => name === "second").length).toBeGreaterThanOrEqual(3);
    });

    it("serves a connection with little input before those that have taken much time", async () => {
        const busy = [createStream(), createStream(), createStream()];
        busy.forEach((stream, index) => {
            scheduler.add(stream);
            follow(stream, `busy-${index}`, 4);
            stream.push(Buffer.alloc(640 * kibibyte));
        });
        for (let turn = 0; turn < 4; turn += 1) {
            await waitForTurn();
        }
        const sound = createStream();
        scheduler.add(sound);
        follow(sound, "sound", 0);
        nowMs += 1;
        sound.push(Buffer.from("answer"));
        const before = heard.length;
        for (let turn = 0; turn < 2; turn += 1) {
            await waitForTurn();
        }
        expect(heard.slice(before)).toContain("sound");
    });

    // Guards against time that passes after a connection has been read, which counted as time spent on its input.
    it("reads input at once when the last was read completely, however long ago", async () => {
        const stream = createStream();
        scheduler.add(stream);
        follow(stream, "a", 0);
        for (let token = 0; token < 10; token += 1) {
            stream.push(Buffer.from("token"));
            await new Promise(resolve => process.nextTick(resolve));
            expect(heard).toHaveLength(token + 1);
            nowMs += 20;
        }
    });

    // Guards against a long stream that, once it has to wait, waits until new connections have taken as much time as it has.
    it("serves a connection that has taken much time, but none lately, within some turns", async () => {
        const long = createStream();
        scheduler.add(long);
        follow(long, "long", 1);
        for (let token = 0; token < 1_000; token += 1) {
            long.push(Buffer.from("token"));
            await new Promise(resolve => process.nextTick(resolve));
            nowMs += 20;
        }
        await waitForTurn();
        const busy = createStream();
        scheduler.add(busy);
        follow(busy, "busy", 4);
        busy.push(Buffer.alloc(640 * kibibyte));
        long.push(Buffer.from("token"));
        await new Promise(resolve => process.nextTick(resolve));
        const before = heard.length;
        for (let turn = 0; turn < 4; turn += 1) {
            await waitForTurn();
        }
        expect(heard.slice(before)).toContain("long");
    });

    it("reads urgent input at once", async () => {
        const stream = createStream();
        scheduler.add(stream, { isUrgent: () => true });
        follow(stream, "urgent", 5);
        stream.push(Buffer.alloc(64 * kibibyte));
        await new Promise(resolve => process.nextTick(resolve));
        expect(heard).toHaveLength(8);
    });

    it("reads no more of a connection that its reader has given up", async () => {
        const stream = createStream();
        let bytes = 0;
        scheduler.add(stream, {
            onInput: length => {
                bytes += length;
                if (bytes > 16 * kibibyte) {
                    stream.destroy();
                }
            },
        });
        const received = follow(stream, "a", 0);
        stream.push(Buffer.alloc(64 * kibibyte));
        await waitForTurn();
        expect(received).toHaveLength(2);
        expect(scheduler.waitingCount).toBe(0);
    });
});
