import fc from "fast-check";
import { FairQueue, type QueuedItem } from "./FairQueue";

const createItem = (
    accountId: string,
    urgency: "interactive" | "batch" = "interactive",
): QueuedItem<string> => ({
    accountId,
    urgency,
    bytes: 10,
    cost: 1,
    value: accountId,
});

describe("FairQueue", () => {
    it("does not let a large account starve a small one", () => {
        const queue = new FairQueue<string>({ maxRequests: 1_000, maxBytes: 100_000 });
        for (let index = 0; index < 100; index += 1) {
            queue.push(createItem("large"));
        }
        queue.take();
        queue.take();
        queue.push(createItem("small"));
        queue.push(createItem("small"));
        const next = [queue.take(), queue.take(), queue.take(), queue.take()].map(item => item!.value);
        expect(next.filter(value => value === "small").length).toBe(2);
    });

    it("prefers interactive work and gives batch work one dispatch in ten", () => {
        const queue = new FairQueue<string>({ maxRequests: 1_000, maxBytes: 100_000 });
        for (let index = 0; index < 20; index += 1) {
            queue.push(createItem("a", "interactive"));
            queue.push(createItem("b", "batch"));
        }
        const taken = Array.from({ length: 20 }, () => queue.take()!.urgency);
        expect(taken.filter(urgency => urgency === "batch").length).toBe(2);
        expect(taken[0]).toBe("interactive");
    });

    it("rejects requests beyond its limits and loses none", () => {
        fc.assert(
            fc.property(
                fc.array(fc.tuple(fc.constantFrom("a", "b", "c"), fc.boolean()), { maxLength: 200 }),
                steps => {
                    const queue = new FairQueue<string>({ maxRequests: 20, maxBytes: 150 });
                    let held = 0;
                    for (const [account, adds] of steps) {
                        if (adds) {
                            held += queue.push(createItem(account)) ? 1 : 0;
                        }
                        else {
                            held -= queue.take() ? 1 : 0;
                        }
                        expect(queue.size).toBe(held);
                        expect(queue.queuedBytes).toBe(held * 10);
                        expect(held).toBeLessThanOrEqual(15);
                    }
                },
            ),
            { seed: 7 },
        );
    });
});
