import { FeedInbox, type FeedNotice } from "./FeedInbox";
import type { FeedUpdate } from "./types";

const body = { digest: "d".repeat(64), bytes: 30_000 };
const otherBody = { digest: "e".repeat(64), bytes: 30_000 };
const records = { written: [["config", { version: 28 }]], removed: [] };

const createUpdate = (after: number, position: number): FeedUpdate<unknown> => ({
    era: 1,
    after,
    position,
    storeMs: position,
    isRecovery: false,
    written: [],
    removed: [],
});

class Setup {
    readonly applied: FeedUpdate<unknown>[] = [];
    readonly asked: string[][] = [];
    reloads = 0;
    position = 10;
    known: unknown;
    private resolvePull = (_value: unknown): void => {};
    readonly inbox = new FeedInbox({
        follower: {
            receive: update => {
                this.applied.push(update);
                this.position = Math.max(this.position, update.position);
            },
            hasRead: ({ position }) => position <= this.position,
            reload: () => void (this.reloads += 1),
        },
        bodies: {
            find: () => this.known,
            pull: (_reference, sources) => {
                this.asked.push(sources);
                return new Promise(resolve => {
                    this.resolvePull = resolve;
                });
            },
        },
    });

    receiveNotice(after: number, position: number, from: string, reference = body): void {
        const { written: _written, removed: _removed, ...head } = createUpdate(after, position);
        this.inbox.receiveNotice({ ...head, body: reference } as FeedNotice, from);
    }

    async finishFetch(value: unknown): Promise<void> {
        this.resolvePull(value);
        await new Promise(resolve => setImmediate(resolve));
    }
}

describe("FeedInbox", () => {
    it("fetches the records of a reading once, from whoever told it", async () => {
        const setup = new Setup();
        setup.receiveNotice(10, 20, "a");
        setup.receiveNotice(10, 21, "b"); // the same change, read by another node
        expect(setup.asked).toEqual([["a", "b"]]);
        setup.known = records;
        await setup.finishFetch(records);
        expect(setup.asked.length).toBe(1);
        expect(setup.applied.map(({ position, written }) => [position, written.length])).toEqual([[20, 1], [
            21,
            1,
        ]]);
    });

    it("only confirms what this node has read", () => {
        const setup = new Setup();
        setup.receiveNotice(5, 9, "a");
        expect(setup.asked).toEqual([]);
        expect(setup.applied).toEqual([createUpdate(9, 9)]);
    });

    it("applies what arrives meanwhile afterwards, in its order", async () => {
        const setup = new Setup();
        setup.receiveNotice(10, 20, "a");
        setup.inbox.receive(createUpdate(20, 20));
        setup.inbox.receive(createUpdate(20, 22));
        setup.receiveNotice(22, 30, "a", otherBody);
        setup.inbox.receive(createUpdate(30, 30));
        expect(setup.applied).toEqual([]);
        await setup.finishFetch(records);
        expect(setup.applied.map(({ position }) => position)).toEqual([20, 20, 22]);
        await setup.finishFetch(records);
        expect(setup.applied.map(({ position }) => position)).toEqual([20, 20, 22, 30, 30]);
    });

    it("has the store read where the records cannot be fetched, or are none", async () => {
        const setup = new Setup();
        setup.receiveNotice(10, 20, "a");
        await setup.finishFetch(undefined);
        setup.receiveNotice(10, 20, "a");
        await setup.finishFetch({ written: "none" });
        expect([setup.reloads, setup.applied.length]).toEqual([2, 0]);
    });
});
