import { ObservableValue } from "../_lib/ObservableValue";
import type { FeedFollower } from "../feeds/FeedFollower";
import { FakeClock } from "../kernel/FakeClock";
import { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { UpstreamClient } from "../upstreams/UpstreamClient";
import { InstanceRegistry } from "./InstanceRegistry";
import type { UpstreamInstance } from "./types";

const createInstance = (id: string, fields: Partial<UpstreamInstance> = {}): UpstreamInstance => ({
    id,
    service: "app",
    address: "10.0.0.1:80",
    dataCentre: "a",
    slots: 4,
    isLeaving: false,
    market: "on-demand",
    ...fields,
});

class Setup {
    readonly clock = new FakeClock();
    readonly records = new ObservableValue<ReadonlyMap<string, UpstreamInstance> | undefined>(undefined);
    readonly events = new EventLog({ node: "n", clock: this.clock });
    /** Addresses for which no client can be created. */
    readonly unusable = new Set<string>();
    readonly closed: string[] = [];
    readonly renewed: string[] = [];
    sinceRecoveryMs = Infinity;
    maxConnections = 4;
    brittleLimit: number | undefined;
    maxUnread = 10;
    remote = new Map<string, number>();
    readonly published: unknown[] = [];
    readonly waitMsById = new Map<string, number>();
    readonly taken: string[] = [];
    readonly listeners = new Map<string, (value: unknown) => void>();
    readonly registry = new InstanceRegistry({
        feed: {
            records: this.records,
            readSinceRecoveryMs: () => this.sinceRecoveryMs,
        } as unknown as FeedFollower<UpstreamInstance>,
        clock: this.clock,
        events: this.events,
        reports: {
            listen: (
                { name }: { readonly name: string; },
                onReceived: (value: never, fromNode: string) => void,
            ) => {
                this.listeners.set(name, value => onReceived(value as never, "member"));
            },
            publish: (_topic: unknown, value: unknown) => void this.published.push(value),
        },
        sums: { registerContributor: () => {}, readOthers: () => this.remote },
        limits: {
            observe: () => {},
            readWaitMs: ({ id }) => this.waitMsById.get(id) ?? 0,
            take: ({ id }) => void this.taken.push(id),
            isLimited: ({ id }) => this.waitMsById.has(id),
            readMaxUnread: ({ id }) => this.waitMsById.has(id) ? this.maxUnread : undefined,
        },
        brittle: {
            observe: () => {},
            isBrittle: () => this.brittleLimit !== undefined,
            listLimits: (_service, instances) =>
                this.brittleLimit === undefined
                    ? undefined
                    : new Map(instances.map(({ id }) => [id, this.brittleLimit!])),
        },
        readMaxConnections: () => this.maxConnections,
        createClient: ({ address }) => {
            if (this.unusable.has(address)) {
                throw new TypeError("Invalid URL");
            }
            return {
                close: async () => void this.closed.push(address),
                renewConnections: () => void this.renewed.push(address),
            } as unknown as UpstreamClient;
        },
    });

    report(topic: string, value: unknown): void {
        this.listeners.get(topic)!(value);
    }

    list(...instances: UpstreamInstance[]): void {
        this.records.set(new Map(instances.map(instance => [instance.id, instance])));
    }

    listIds(): string[] {
        return this.registry.listUsable("app").map(known => known.instance.id).sort();
    }
}

const second = { address: "10.0.0.2:80" };

describe("InstanceRegistry", () => {
    let setup: Setup;
    beforeEach(async () => {
        setup = new Setup();
        await setup.registry.start();
        setup.list(createInstance("one"), createInstance("two", second));
    });

    it("lists no leaving or removed upstream, and closes a removed one's connections after its last request", () => {
        const [one] = setup.registry.listUsable("app");
        setup.registry.beginRequest(one);
        setup.list(createInstance("two", { ...second, isLeaving: true }));
        expect(setup.listIds()).toEqual([]);
        expect(setup.closed).toEqual([]);
        setup.registry.endRequest(one);
        expect(setup.closed).toEqual(["10.0.0.1:80"]);
    });

    // Guards against members that pass requests on to an upstream long after it has begun to leave.
    it("accepts requests that were sent before for a while after an upstream has begun to leave or is gone", async () => {
        const graceMs = 1_000;
        const isAccepting = (): boolean => setup.registry.isAcceptingAt("10.0.0.1:80", graceMs);
        setup.list(createInstance("one", { isLeaving: true }));
        await setup.clock.advance(graceMs - 1);
        setup.list(createInstance("one", { isLeaving: true }));
        expect(isAccepting()).toBe(true);
        await setup.clock.advance(1);
        expect(isAccepting()).toBe(false);
        setup.list(createInstance("two", { address: "10.0.0.1:80" }));
        expect(isAccepting()).toBe(true);
        setup.list();
        expect(isAccepting()).toBe(true);
        await setup.clock.advance(graceMs);
        expect(isAccepting()).toBe(false);
        expect(setup.registry.isAcceptingAt("10.0.0.9:80", graceMs)).toBe(false);
    });

    it("counts that while from the time at which an entry went missing during an outage of the store", async () => {
        const graceMs = 1_000;
        setup.sinceRecoveryMs = 0;
        setup.list(createInstance("two", second));
        await setup.clock.advance(1_400);
        expect(setup.registry.isAcceptingAt("10.0.0.1:80", graceMs)).toBe(true);
        await setup.clock.advance(100);
        expect(setup.listIds()).toEqual(["two"]);
        expect(setup.registry.isAcceptingAt("10.0.0.1:80", graceMs)).toBe(false);
    });

    it("lists no upstream to which all of this node's connections are in use", () => {
        const one = setup.registry.listUsable("app").find(known => known.instance.id === "one")!;
        for (let count = 0; count < 4; count += 1) {
            setup.registry.beginRequest(one);
        }
        expect(setup.listIds()).toEqual(["two"]);
        setup.registry.endRequest(one);
        expect(setup.listIds()).toEqual(["one", "two"]);
    });

    it("lists no upstream whose stated limit allows no request now, and says when the first one does", () => {
        setup.waitMsById.set("one", 300);
        expect(setup.listIds()).toEqual(["two"]);
        expect(setup.registry.readRefusalMs("app")).toBeUndefined();
        setup.waitMsById.set("two", 200);
        expect(setup.listIds()).toEqual([]);
        expect(setup.registry.readRefusalMs("app")).toBe(200);
        expect(setup.registry.countLimited("app")).toBe(2);
        setup.waitMsById.clear();
        setup.registry.beginRequest(setup.registry.listUsable("app")[0]);
        expect(setup.taken).toHaveLength(1);
    });

    // Guards against callers that leave in the middle of an answer, and keep the others from an upstream with a limit.
    it("counts requests that a limited upstream has not read, but not those whose answer has begun", async () => {
        const one = setup.registry.listUsable("app").find(known => known.instance.id === "one")!;
        setup.waitMsById.set("one", 0);
        setup.maxUnread = 1;
        const sentMs = setup.clock.readMonotonicMs();
        for (let count = 0; count < 3; count += 1) {
            setup.registry.beginRequest(one);
        }
        one.answeredSentMs = sentMs;
        await setup.clock.advance(100);
        setup.registry.endRequest(one, sentMs);
        expect(setup.listIds()).toEqual(["one", "two"]);
        setup.registry.endRequest(one, sentMs + 50);
        expect(setup.listIds()).toEqual(["two"]);
    });

    it("lists a brittle upstream up to this node's part of its places, and not after it turned a request away", async () => {
        const one = setup.registry.listUsable("app").find(known => known.instance.id === "one")!;
        setup.registry.recordTurnedAway(one);
        expect(setup.listIds()).toEqual(["one", "two"]);
        setup.brittleLimit = 1;
        setup.registry.beginRequest(one);
        expect(setup.listIds()).toEqual(["two"]);
        setup.registry.endRequest(one);
        setup.registry.recordTurnedAway(one);
        setup.registry.recordTurnedAway(one);
        expect(setup.listIds()).toEqual(["two"]);
        expect(setup.published).toEqual([{ id: "one" }]);
        await setup.clock.advance(1_000);
        expect(setup.listIds()).toEqual(["one", "two"]);
        setup.report("brittle-upstream-full", { id: "two" });
        expect(setup.listIds()).toEqual(["one"]);
    });

    it("sends requests to an upstream that has not answered for a second over new connections", async () => {
        const one = setup.registry.listUsable("app").find(known => known.instance.id === "one")!;
        setup.registry.renewSilent(one);
        setup.registry.beginRequest(one);
        await setup.clock.advance(900);
        setup.registry.renewSilent(one);
        setup.registry.beginRequest(one);
        expect(setup.renewed).toEqual([]);
        await setup.clock.advance(100);
        setup.registry.renewSilent(one);
        setup.registry.renewSilent(one);
        expect(setup.renewed).toEqual(["10.0.0.1:80"]);
        one.lastReceivedMs = setup.clock.readMonotonicMs();
        await setup.clock.advance(5_000);
        setup.registry.renewSilent(one);
        expect(setup.renewed).toHaveLength(1);
    });

    it("says that a limited upstream accepts requests now if its limit allowed one since none could be chosen", () => {
        setup.waitMsById.set("one", 0);
        expect(setup.registry.readRefusalMs("app")).toBeUndefined();
        setup.waitMsById.set("two", 200);
        expect(setup.registry.readRefusalMs("app")).toBe(0);
        setup.registry.eject(setup.registry.listUsable("app")[0], "gone");
        expect(setup.registry.readRefusalMs("app")).toBeUndefined();
    });

    it("applies a connection limit that changes after the upstream was listed", () => {
        setup.maxConnections = 1;
        setup.list(createInstance("one"));
        const [one] = setup.registry.listUsable("app");
        setup.registry.beginRequest(one);
        expect(setup.listIds()).toEqual([]);
        setup.maxConnections = 2;
        expect(setup.listIds()).toEqual(["one"]);
    });

    it("keeps an upstream leaving that said so in an answer, also when its entry is listed again", () => {
        const one = setup.registry.listUsable("app").find(known => known.instance.id === "one")!;
        setup.registry.markLeaving(one);
        setup.registry.markLeaving(one);
        expect(setup.published).toEqual([{ id: "one", startedAtMs: undefined }]);
        expect(setup.registry.isAcceptingRequests(one)).toBe(false);
        setup.list(createInstance("two", second));
        setup.list(createInstance("one"), createInstance("two", second));
        expect(setup.listIds()).toEqual(["two"]);
        setup.list(createInstance("one", { startedAtMs: 5 }), createInstance("two", second));
        expect(setup.listIds()).toEqual(["one", "two"]);
    });

    it("keeps an upstream leaving whose entry falls back to an earlier state", () => {
        setup.list(createInstance("one", { isLeaving: true, startedAtMs: 5 }), createInstance("two", second));
        setup.list(createInstance("one", { startedAtMs: 5 }), createInstance("two", second));
        expect(setup.listIds()).toEqual(["two"]);
        setup.list(createInstance("one", { startedAtMs: 6 }), createInstance("two", second));
        expect(setup.listIds()).toEqual(["one", "two"]);
    });

    it("treats an upstream as leaving when a member reports so, unless it has restarted", () => {
        setup.list(createInstance("one", { startedAtMs: 5 }), createInstance("two", second));
        setup.report("upstream-leaving", { id: "one", startedAtMs: 4 });
        expect(setup.listIds()).toEqual(["one", "two"]);
        setup.report("upstream-leaving", { id: "one", startedAtMs: 5 });
        expect(setup.listIds()).toEqual(["two"]);
    });

    it("sends nothing to an upstream for the time that it asked for, however often it is listed", async () => {
        const [one, two] = setup.registry.listUsable("app");
        setup.registry.recordRefusal(one, 3_000);
        setup.registry.eject(one, "another request failed over");
        expect(setup.registry.readRefusalMs("app")).toBeUndefined();
        setup.registry.recordRefusal(two, 2_000);
        expect(setup.registry.readRefusalMs("app")).toBe(2_000);
        setup.list(createInstance("two", second));
        setup.list(createInstance("one"), createInstance("two", second));
        await setup.clock.advance(2_100);
        expect(setup.listIds()).toEqual(["two"]);
        await setup.clock.advance(1_000);
        expect(setup.listIds()).toEqual(["one", "two"]);
    });

    // Guards against an entry that ends the process, or hides the entries after it, because no client can be created.
    it("ignores an entry with an unusable address, logs it once, and applies all others", async () => {
        setup.unusable.add("odd");
        setup.sinceRecoveryMs = 0;
        setup.list(createInstance("odd", { address: "odd" }), createInstance("three"));
        expect(setup.listIds()).toEqual(["one", "three", "two"]);
        setup.sinceRecoveryMs = Infinity;
        await setup.clock.advance(1_500);
        expect(setup.listIds()).toEqual(["three"]);
        expect(setup.events.count(eventKinds.runnerRejected)).toBe(1);
    });

    it("uses an entry once its address is usable, and logs it again if it is not any more", () => {
        setup.unusable.add("odd");
        setup.list(createInstance("one", { address: "odd" }));
        setup.list(createInstance("one"));
        expect(setup.listIds()).toEqual(["one"]);
        setup.list(createInstance("one", { address: "odd" }));
        expect(setup.listIds()).toEqual([]);
        expect(setup.events.count(eventKinds.runnerRejected)).toBe(2);
    });

    it("keeps an entry that is missing right after the store recovered, for a grace period", async () => {
        setup.sinceRecoveryMs = 10;
        setup.list(createInstance("two", second));
        expect(setup.listIds()).toEqual(["one", "two"]);
        await setup.clock.advance(1_400);
        expect(setup.listIds()).toEqual(["one", "two"]);
        await setup.clock.advance(200);
        expect(setup.listIds()).toEqual(["two"]);
    });

    it("removes a missing entry after its grace period, even if the timer fires slightly early", async () => {
        const sleep = setup.clock.sleep.bind(setup.clock);
        setup.clock.sleep = (delayMs, signal) => sleep(delayMs - 0.5, signal);
        setup.sinceRecoveryMs = 10;
        setup.list(createInstance("two", second));
        await setup.clock.advance(1_500);
        expect(setup.listIds()).toEqual(["two"]);
    });

    it("keeps an entry that reappears in its grace period, with its requests in flight", async () => {
        setup.sinceRecoveryMs = 10;
        const one = setup.registry.listUsable("app").find(known => known.instance.id === "one")!;
        setup.registry.beginRequest(one);
        setup.list(createInstance("two", second));
        setup.list(createInstance("one"), createInstance("two", second));
        await setup.clock.advance(3_000);
        expect(setup.listIds()).toEqual(["one", "two"]);
        expect(one.inFlight).toBe(1);
        expect(setup.closed).toEqual([]);
    });

    it("treats a second start with the same id as another upstream", () => {
        setup.list(createInstance("one", { startedAtMs: 5 }));
        setup.list(createInstance("one", { startedAtMs: 9 }));
        expect(setup.closed).toContain("10.0.0.1:80");
        expect(setup.listIds()).toEqual(["one"]);
    });

    it("ejects an upstream for a limited time", async () => {
        const [one] = setup.registry.listUsable("app");
        setup.registry.eject(one, "refused");
        expect(setup.listIds()).toEqual(["two"]);
        await setup.clock.advance(1_100);
        expect(setup.listIds()).toEqual(["one", "two"]);
    });

    it("adds the reported load of the other nodes to its own", () => {
        setup.remote = new Map([["one", 3], ["two", 4]]);
        const instances = setup.registry.listUsable("app");
        setup.registry.beginRequest(instances[0]);
        expect(setup.registry.createViews(instances).map(view => view.inFlight)).toEqual([4, 4]);
        expect(setup.registry.countInFlight("app")).toBe(8);
    });

    it("treats an upstream that changed its software version under one id as another one", () => {
        setup.list(createInstance("one", { softwareVersion: "v1" }));
        const [before] = setup.registry.listUsable("app");
        setup.list(createInstance("one", { softwareVersion: undefined }));
        expect(setup.registry.listUsable("app")).toEqual([before]);
        setup.list(createInstance("one", { softwareVersion: "v1" }));
        expect(setup.closed).not.toContain(before.instance.address);
        setup.list(createInstance("one", { softwareVersion: "v2" }));
        const [after] = setup.registry.listUsable("app");
        expect(after).not.toBe(before);
        expect(after.instance.softwareVersion).toBe("v2");
        expect(setup.closed).toContain(before.instance.address);
        expect(setup.registry.isAcceptingRequests(before)).toBe(false);
    });
});
