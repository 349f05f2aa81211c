import { ObservableValue } from "../_lib/ObservableValue";
import { FakeClock } from "../kernel/FakeClock";
import type { UpstreamInstance } from "../placement/types";
import { SoftwareVersions } from "./SoftwareVersions";

const windowMs = 30_000;

class Setup {
    readonly clock = new FakeClock();
    readonly records = new ObservableValue<ReadonlyMap<string, UpstreamInstance> | undefined>(undefined);
    ageMs = 0;
    sinceResumedMs = Infinity;
    resumedStoreMs: number | undefined;
    readonly versions = new SoftwareVersions({
        feed: this,
        clock: this.clock,
        readWindowMs: () => windowMs,
    });

    readAgeMs(): number {
        return this.ageMs;
    }

    readSinceResumedMs(): number {
        return this.sinceResumedMs;
    }

    list(...softwareVersions: (string | undefined)[]): void {
        const instances = softwareVersions.map((softwareVersion, index) =>
            [`i-${index}`, { id: `i-${index}`, service: "llm", softwareVersion } as UpstreamInstance] as const
        );
        this.records.set(new Map(instances));
    }
}

describe("SoftwareVersions", () => {
    let setup: Setup;

    beforeEach(async () => {
        setup = new Setup();
        await setup.versions.start();
    });

    it("finds the sole version once the history is known", () => {
        setup.list("v1", "v1");
        expect(setup.versions.findSole("llm")).toBeUndefined();
        setup.versions.completeHistory(undefined);
        expect(setup.versions.findSole("llm")).toBe("v1");
        expect(setup.versions.isMixed("llm")).toBe(false);
        expect(setup.versions.findSole("unknown")).toBeUndefined();
    });

    it("finds the sole version without a history once it was the only one for long enough", async () => {
        setup.list("v1");
        await setup.clock.advance(windowMs);
        expect(setup.versions.findSole("llm")).toBe("v1");
    });

    it("finds none while there are two, and for as long as a stream of the former one may go on", async () => {
        setup.versions.completeHistory(undefined);
        setup.list("v1", "v2");
        expect(setup.versions.findSole("llm")).toBeUndefined();
        setup.list("v2");
        await setup.clock.advance(windowMs - 1);
        expect(setup.versions.findSole("llm")).toBeUndefined();
        expect(setup.versions.isMixed("llm")).toBe(true);
        await setup.clock.advance(1);
        expect(setup.versions.findSole("llm")).toBe("v2");
    });

    it("finds none while the records may be outdated", () => {
        setup.versions.completeHistory(undefined);
        setup.list("v1");
        setup.ageMs = 5_000;
        expect(setup.versions.findSole("llm")).toBeUndefined();
    });

    it("finds none right after an outage of the store", () => {
        setup.versions.completeHistory(undefined);
        setup.list("v1");
        setup.sinceResumedMs = 1_000;
        expect(setup.versions.findSole("llm")).toBeUndefined();
    });

    it("finds none where an upstream does not state its version", () => {
        setup.versions.completeHistory(undefined);
        setup.list(undefined);
        expect(setup.versions.findSole("llm")).toBeUndefined();
    });

    it("counts a version that the store tells of until it is too long ago", async () => {
        setup.list("v2");
        setup.versions.addHistory("llm", "v1", windowMs - 1_000);
        setup.versions.addHistory("llm", "v2", 0);
        setup.versions.completeHistory(undefined);
        expect(setup.versions.findSole("llm")).toBeUndefined();
        await setup.clock.advance(1_000);
        expect(setup.versions.findSole("llm")).toBe("v2");
    });

    it("counts a version again that comes back", async () => {
        setup.versions.completeHistory(undefined);
        setup.list("v1");
        setup.list();
        await setup.clock.advance(windowMs);
        expect(setup.versions.findSole("llm")).toBeUndefined();
        setup.list("v1");
        expect(setup.versions.findSole("llm")).toBe("v1");
    });
});
