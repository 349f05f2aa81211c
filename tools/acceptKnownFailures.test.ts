import { judgeResults, listKnownFailures } from "./acceptKnownFailures";

const createResults = (tests: Readonly<Record<string, "failed" | "passed">>): object => ({
    wasInterrupted: false,
    numRuntimeErrorTestSuites: 0,
    testResults: [{
        testResults: Object.entries(tests).map(([fullName, status]) => ({ fullName, status })),
    }],
});

describe("acceptKnownFailures", () => {
    it("reads the names of tests from lines of their own", () => {
        expect([...listKnownFailures("# list\ntest: a b\n  command: npx jest\n\ntest: c\n")]).toEqual([
            "a b",
            "c",
        ]);
    });

    it("accepts failures of listed tests only", () => {
        const known = new Set(["a"]);
        expect(judgeResults(createResults({ a: "failed", b: "passed" }), known).isPassed).toBe(true);
        expect(judgeResults(createResults({ a: "failed", b: "failed" }), known)).toMatchObject({
            unexpected: ["b"],
            isPassed: false,
        });
    });

    it("does not accept a listed test that passes, nor a file that could not run", () => {
        const known = new Set(["a"]);
        expect(judgeResults(createResults({ a: "passed" }), known)).toMatchObject({
            outdated: ["a"],
            isPassed: false,
        });
        const broken = { ...createResults({ a: "failed" }), numRuntimeErrorTestSuites: 1 };
        expect(judgeResults(broken, known).isPassed).toBe(false);
    });
});
