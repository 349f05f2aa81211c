import { LateTableService } from "../../standins/LateTableService";
import { ObservableValue } from "../_lib/ObservableValue";
import { FakeClock } from "../kernel/FakeClock";
import type { UpstreamInstance } from "../placement/types";
import { MemoryTableService } from "../platform/MemoryTableService";
import { StoreError } from "../platform/StoreError";
import type { TableService } from "../platform/types";
import { EventLog } from "../telemetry/EventLog";
import { SoftwareVersions } from "./SoftwareVersions";
import { VersionRecords } from "./VersionRecords";

const windowMs = 30_000;
const table = "software-versions";
const slowWriteMs = 300;

/** A process that sees what is listed; all processes share clock and store. */
class TestProcess {
    readonly records = new ObservableValue<ReadonlyMap<string, UpstreamInstance> | undefined>(undefined);
    readonly versions: SoftwareVersions;
    readonly versionRecords: VersionRecords;
    isWriter = true;
    resumedStoreMs: number | undefined;

    constructor(readonly clock: FakeClock, readonly tables: TableService) {
        this.versions = new SoftwareVersions({
            feed: this,
            clock,
            readWindowMs: () => windowMs,
        });
        this.versionRecords = new VersionRecords({
            tables,
            versions: this.versions,
            storeClock: { readStoreMs: () => clock.readMonotonicMs() },
            isWriter: () => this.isWriter,
            clock,
            events: new EventLog({ node: "n", clock }),
        });
    }

    readAgeMs(): number {
        return 0;
    }

    readSinceResumedMs(): number {
        return this.resumedStoreMs === undefined
            ? Infinity
            : this.clock.readMonotonicMs() - this.resumedStoreMs;
    }

    async list(...versions: string[]): Promise<void> {
        const instances = versions.map(softwareVersion =>
            [softwareVersion, { service: "llm", softwareVersion } as UpstreamInstance] as const
        );
        this.records.set(new Map(instances));
        await this.clock.advance(100);
    }

    async start(...versions: string[]): Promise<void> {
        await this.versions.start();
        await this.list(...versions);
        const started = this.versionRecords.start();
        await this.clock.advance(100);
        await started;
    }
}

describe("VersionRecords", () => {
    let clock: FakeClock;
    let tables: MemoryTableService;
    let process: TestProcess;

    const readRecord = async (): Promise<unknown> => (await tables.read([{ table, key: "llm" }]))[0]?.value;

    beforeEach(() => {
        clock = new FakeClock();
        tables = new MemoryTableService();
        process = new TestProcess(clock, tables);
    });

    afterEach(() => process.versionRecords.stop());

    it("tells a process that starts of a version that left before its start", async () => {
        await process.start("v1");
        await process.list("v1", "v2");
        await process.list("v2");
        const next = new TestProcess(clock, tables);
        await next.start("v2");
        expect(next.versions.findSole("llm")).toBeUndefined();
        await clock.advance(windowMs);
        expect(next.versions.findSole("llm")).toBe("v2");
        await next.versionRecords.stop();
    });

    it("tells a process that starts that there has been one version only", async () => {
        await process.start("v1");
        const next = new TestProcess(clock, tables);
        await next.start("v1");
        expect(next.versions.findSole("llm")).toBe("v1");
        await next.versionRecords.stop();
    });

    it("takes a version whose end nobody recorded as listed until the next start", async () => {
        await process.start("v1");
        process.isWriter = false;
        await process.list("v2");
        await clock.advance(windowMs * 2);
        const next = new TestProcess(clock, tables);
        await next.start("v2");
        expect(next.versions.findSole("llm")).toBeUndefined();
        expect(await readRecord()).toMatchObject({ v1: expect.any(Number), v2: null });
        await next.versionRecords.stop();
    });

    it("writes only when a version comes or goes", async () => {
        const transact = jest.spyOn(tables, "transact");
        await process.start("v1");
        await clock.advance(60_000);
        expect(transact).toHaveBeenCalledTimes(1);
        await process.list("v1", "v2");
        expect(transact).toHaveBeenCalledTimes(2);
    });

    // Guards against streams joined from two versions: a version that is not recorded is not known after a loss of all nodes.
    it("records a version that comes while another one is being written, without delay", async () => {
        await process.start("v1");
        const transact = tables.transact.bind(tables);
        jest.spyOn(tables, "transact").mockImplementationOnce(async operations => {
            await clock.sleep(slowWriteMs);
            return transact(operations);
        });
        await process.list("v1", "v2");
        await process.list("v1", "v2", "v3");
        await clock.advance(slowWriteMs);
        expect(await readRecord()).toEqual({ v1: null, v2: null, v3: null });
    });

    // Guards against streams joined from two versions: the node that writes stands still while a version comes and goes.
    it("records within a second what another writer has missed", async () => {
        await process.start("v1");
        process.isWriter = false;
        await process.list("v1", "v2");
        process.isWriter = true;
        await clock.advance(1_000);
        expect(await readRecord()).toEqual({ v1: null, v2: null });
    });

    it("tells a process, once it has read again, of a version that came and went in a pause of its readings", async () => {
        await process.start("v1");
        const late = new TestProcess(clock, tables);
        await late.start("v1");
        await process.list("v1", "v2");
        await process.list("v1");
        late.resumedStoreMs = clock.readMonotonicMs();
        await clock.advance(windowMs / 2);
        expect(late.versions.findSole("llm")).toBeUndefined();
        expect(await late.versionRecords.reload()).toBe(true);
        expect(late.versions.hasWholeHistory()).toBe(true);
        expect(late.versions.findSole("llm")).toBeUndefined();
        await clock.advance(windowMs);
        expect(late.versions.findSole("llm")).toBe("v1");
        await late.versionRecords.stop();
    });

    it("merges what another node has written meanwhile", async () => {
        await process.start("v1");
        const listedMs = clock.readMonotonicMs();
        const value = { v1: null, v3: listedMs };
        await tables.transact([{ table, key: "llm", condition: { kind: "any" }, value }]);
        await process.list("v1", "v2");
        await clock.advance(1_000);
        expect(await readRecord()).toEqual({ v1: null, v2: null, v3: listedMs });
    });

    // Guards against streams joined from two versions: the writer ends after it wrote that a version had left.
    it("keeps a version on record that is listed again when another node becomes the writer", async () => {
        await process.start("v1", "v2");
        const next = new TestProcess(clock, tables);
        next.isWriter = false;
        await next.start("v1", "v2");
        await next.list("v1");
        await process.list("v1");
        expect(await readRecord()).toEqual({ v1: null, v2: expect.any(Number) });
        process.isWriter = false;
        await next.list("v1", "v2");
        next.isWriter = true;
        await clock.advance(1_000);
        expect(await readRecord()).toEqual({ v1: null, v2: null });
        await next.versionRecords.stop();
    });

    describe("with a write that is carried out late", () => {
        let late: LateTableService;

        /** A version is not listed for a moment, and what is written then gets no answer. */
        beforeEach(async () => {
            late = new LateTableService();
            process = new TestProcess(clock, late);
            await process.start("v1", "v2");
            late.lateTable = table;
            await process.list("v1");
            late.lateTable = undefined;
            expect(late.lateCount).toBe(1);
        });

        const findSoleAfterLoss = async (): Promise<string | undefined> => {
            await clock.advance(windowMs);
            const next = new TestProcess(clock, late);
            await next.start("v1");
            await next.versionRecords.stop();
            return next.versions.findSole("llm");
        };

        // Guards against streams joined from two versions: a version that is listed again, and ends with all nodes.
        it("keeps a version on record that is listed again before", async () => {
            await process.list("v1", "v2");
            await clock.advance(1_000);
            late.commitLate();
            expect(await findSoleAfterLoss()).toBeUndefined();
        });

        it("keeps it on record also when it is listed again afterwards", async () => {
            late.commitLate();
            await process.list("v1", "v2");
            expect(await findSoleAfterLoss()).toBeUndefined();
        });

        it("keeps it on record also when the row cannot be read at first", async () => {
            late.commitLate();
            jest.spyOn(late, "read").mockRejectedValueOnce(new StoreError("no answer", "unknown"));
            await process.list("v1", "v2");
            expect(await findSoleAfterLoss()).toBeUndefined();
        });

        it("keeps it on record also when another node has become the writer", async () => {
            process.isWriter = false;
            await process.list("v1", "v2");
            await clock.advance(1_000);
            late.commitLate();
            expect(await findSoleAfterLoss()).toBeUndefined();
        });

        // Guards against streams joined from two versions: the write of a writer that has ended replaces what is listed.
        it.each([["ran before", true], ["starts then", false]])(
            "keeps it on record also when its writer has ended, and another node that %s writes",
            async (_, isRunning) => {
                const next = new TestProcess(clock, late);
                next.isWriter = !isRunning;
                if (isRunning) {
                    await next.start("v1", "v2");
                }
                await process.versionRecords.stop();
                if (!isRunning) {
                    await next.start("v1", "v2");
                }
                next.isWriter = true;
                await clock.advance(1_000);
                late.commitLate();
                await clock.advance(1_000);
                await next.versionRecords.stop();
                expect(await findSoleAfterLoss()).toBeUndefined();
            },
        );

        it("writes no more once a write was answered", async () => {
            await process.list("v1", "v2");
            await clock.advance(1_000);
            const transact = jest.spyOn(late, "transact");
            await clock.advance(10_000);
            expect(transact).not.toHaveBeenCalled();
        });
    });

    it("does not delay a start for long while the store does not answer", async () => {
        jest.spyOn(tables, "list").mockRejectedValue(new StoreError("down", "none"));
        await process.versions.start();
        const started = process.versionRecords.start();
        await clock.advance(500);
        await started;
        await process.list("v1");
        expect(process.versions.findSole("llm")).toBeUndefined();
    });
});
