import { SeededRandom } from "../kernel/SeededRandom";
import type { WorkRequest } from "./types";
import { WorkModel } from "./WorkModel";

const createRequest = (fields: Partial<WorkRequest> = {}): WorkRequest => ({
    service: "llm",
    route: "plan",
    account: "a",
    promptTokens: 1_000,
    outputTokens: 100,
    ...fields,
});

const learnTimes = (model: WorkModel, request: WorkRequest, tookMs: number, count = 100): void => {
    for (let index = 0; index < count; index += 1) {
        model.learn(request, tookMs);
    }
};

describe("WorkModel", () => {
    // Guards against long prompts that count as much as short ones.
    it("estimates by size what it has learned from other sizes on the route", () => {
        const model = new WorkModel();
        learnTimes(model, createRequest(), 200);
        const twice = createRequest({ promptTokens: 2_000, outputTokens: 200 });
        expect(model.estimate(twice).workMs).toBeCloseTo(400, -1);
    });

    // Guards against requests that look alike and cost different amounts by who sends them.
    it("tells accounts apart whose requests look alike", () => {
        const model = new WorkModel();
        for (let index = 0; index < 200; index += 1) {
            model.learn(createRequest({ account: "cheap" }), 100);
            model.learn(createRequest({ account: "dear" }), 300);
        }
        const { workMs: cheap } = model.estimate(createRequest({ account: "cheap" }));
        const { workMs: dear } = model.estimate(createRequest({ account: "dear" }));
        expect(dear / cheap).toBeGreaterThan(2);
    });

    // Guards against routes that nobody knows yet and that seem to cost nothing.
    it("takes a route that it does not know for as dear as the others, and plain ones apart", () => {
        const model = new WorkModel();
        learnTimes(model, createRequest(), 400);
        expect(model.estimate(createRequest({ route: "new" })).workMs).toBeCloseTo(400, -1);
        const plain = createRequest({ route: "book", promptTokens: undefined, outputTokens: 0 });
        expect(model.estimate(plain).workMs).toBe(50);
        learnTimes(model, plain, 20);
        expect(model.estimate(plain).workMs).toBeCloseTo(20, 0);
    });

    it("knows how far its estimates are off, and follows a change", () => {
        const model = new WorkModel();
        const random = new SeededRandom(1);
        for (let index = 0; index < 300; index += 1) {
            model.learn(createRequest(), 100 + random.drawInt(100));
        }
        const { workMs, errorMs } = model.estimate(createRequest());
        expect(errorMs / workMs).toBeGreaterThan(0.05);
        expect(errorMs / workMs).toBeLessThan(0.4);
        learnTimes(model, createRequest(), 600);
        expect(model.estimate(createRequest()).workMs).toBeGreaterThan(550);
    });

    // Guards against memory that grows with the names that callers or operators make up.
    it("forgets the kinds that it has not seen for longest", () => {
        const model = new WorkModel();
        learnTimes(model, createRequest({ route: "old" }), 900);
        for (let index = 0; index < 2_000; index += 1) {
            model.learn(createRequest({ route: `r${index}`, account: `a${index}` }), 100);
        }
        expect(model.estimate(createRequest({ route: "old" })).workMs).toBeLessThan(200);
    });
});
