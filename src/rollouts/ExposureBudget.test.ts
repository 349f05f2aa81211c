import fc from "fast-check";
import { ExposureBudget } from "./ExposureBudget";

const share = 0.1;
const slack = 50;
const startSlackShare = 0.25;

/** Something that happens at one of the nodes: a request arrives, or the process is lost and starts anew. */
const eventArbitrary = fc.record({
    node: fc.nat(19),
    isLoss: fc.integer({ min: 0, max: 499 }).map(drawn => drawn === 0),
});

describe("ExposureBudget", () => {
    // Guards against nodes that together send more to an unproven version than is allowed, whatever is lost between them.
    it("keeps the share over all nodes, without anything that they tell each other", () => {
        fc.assert(fc.property(
            fc.integer({ min: 1, max: 20 }),
            fc.array(eventArbitrary, { maxLength: 3_000, size: "max" }),
            (nodes, events) => {
                const createBudget = (): ExposureBudget =>
                    new ExposureBudget({ share, slack: slack * startSlackShare / nodes });
                const budgets = Array.from({ length: nodes }, createBudget);
                let all = 0;
                let exposed = 0;
                let losses = 0;
                for (const { node, isLoss } of events) {
                    const index = node % nodes;
                    if (isLoss && losses < nodes * 3) {
                        budgets[index] = createBudget();
                        losses += 1;
                        continue;
                    }
                    all += 1;
                    if (budgets[index].available > 0) {
                        budgets[index].take();
                        exposed += 1;
                    }
                    else {
                        budgets[index].countBaseline();
                    }
                    expect(exposed).toBeLessThanOrEqual(all * share + slack);
                }
            },
        ));
    });

    // Guards against a version that gets so few requests that it is never judged.
    it("uses most of the share", () => {
        const budget = new ExposureBudget({ share, slack: 0 });
        let exposed = 0;
        for (let request = 0; request < 1_000; request += 1) {
            if (budget.available > 0) {
                budget.take();
                exposed += 1;
            }
            else {
                budget.countBaseline();
            }
        }
        expect(exposed).toBeGreaterThanOrEqual(1_000 * share * 0.7);
    });

    // Guards against a burst at an unproven version after a time in which none of its upstreams could be used.
    it("saves few requests, and takes streams that go on into account", () => {
        const budget = new ExposureBudget({ share, slack: 0 });
        for (let request = 0; request < 1_000; request += 1) {
            budget.countBaseline();
        }
        expect(budget.available).toBeLessThanOrEqual(3);
        Array.from({ length: 10 }, () => budget.take());
        expect(budget.available).toBe(0);
        budget.countBaseline();
        expect(budget.available).toBe(0);
    });
});
