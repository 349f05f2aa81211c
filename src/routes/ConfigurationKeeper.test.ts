import { ObservableValue } from "../_lib/ObservableValue";
import type { BodyReference } from "../peers/BodyExchange";
import type { FeedFollower } from "../feeds/FeedFollower";
import { FakeClock } from "../kernel/FakeClock";
import { EventLog } from "../telemetry/EventLog";
import { ConfigurationKeeper } from "./ConfigurationKeeper";
import { ServingState } from "./ServingState";
import type { ServingConfiguration } from "./types";

const createConfiguration = (version: number): ServingConfiguration => ({
    version,
    routes: [],
    services: [],
    accounts: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

type Records = ReadonlyMap<string, ServingConfiguration> | undefined;

/** A node, with what the store has for it and what it published. */
const reference: BodyReference = { digest: "d".repeat(64), bytes: 30_000 };

class Setup {
    readonly records = new ObservableValue<Records>(undefined);
    readonly published: ServingConfiguration[] = [];
    isTeller = true;
    /** References of the configurations that were told without their content. */
    readonly noticed: BodyReference[] = [];
    /** Whether configurations count as large. */
    isLarge = false;
    receive: (configuration: ServingConfiguration) => void = () => {};
    receiveNotice: (notice: unknown, fromNode: string) => void = () => {};
    pull: () => Promise<unknown> = async () => undefined;
    readonly state: ServingState;
    readonly keeper: ConfigurationKeeper;

    constructor(clock: FakeClock) {
        const events = new EventLog({ node: "n", clock });
        const feed = {
            records: this.records,
            source: "store",
            readAgeMs: () => 0,
        } as unknown as FeedFollower<ServingConfiguration>;
        this.state = new ServingState({ feed, events, maxAgeMs: () => 1_000, changeMs: 1_000 });
        this.keeper = new ConfigurationKeeper({
            state: this.state,
            feed,
            reports: {
                publish: (_topic, value) => {
                    const { body } = value as { body?: BodyReference; };
                    if (body) {
                        this.noticed.push(body);
                    }
                    else {
                        this.published.push(value as unknown as ServingConfiguration);
                    }
                },
                listen: ({ name }, onReceived) => {
                    if (name === "newest-configuration") {
                        this.receive = onReceived as unknown as (configuration: ServingConfiguration) => void;
                    }
                    else {
                        this.receiveNotice = onReceived as unknown as (notice: unknown) => void;
                    }
                },
            },
            bodies: { offer: () => this.isLarge ? reference : undefined, pull: () => this.pull() },
            isTeller: () => this.isTeller,
            clock,
            events,
        });
    }

    async start(version: number): Promise<void> {
        await this.state.start();
        await this.keeper.start();
        this.store(version);
    }

    store(version: number): void {
        this.records.set(new Map([["config", createConfiguration(version)]]));
    }

    readVersion(): number | undefined {
        return this.state.table.value?.configuration.version;
    }
}

describe("ConfigurationKeeper", () => {
    it("tells a node that started with a restored store the newer version, until it is stored again", async () => {
        const clock = new FakeClock();
        const [old, fresh] = [new Setup(clock), new Setup(clock)];
        await old.start(7);
        old.store(5);
        await fresh.start(5);
        await clock.advance(1_000);
        expect(old.readVersion()).toBe(7);
        expect(fresh.published).toEqual([]);
        old.published.forEach(configuration => fresh.receive(configuration));
        expect(fresh.readVersion()).toBe(7);
        old.store(7);
        old.published.length = 0;
        await clock.advance(3_000);
        expect(old.published).toEqual([]);
        await Promise.all([old.keeper.stop(), fresh.keeper.stop()]);
    });

    // Guards against links that are filled each second by whole copies of a large configuration.
    it("tells of a large configuration without its content, which a node that is behind asks for once", async () => {
        const clock = new FakeClock();
        const [old, fresh] = [new Setup(clock), new Setup(clock)];
        old.isLarge = true;
        await old.start(7);
        old.store(5);
        await fresh.start(5);
        await clock.advance(2_000);
        expect([old.published, old.noticed]).toEqual([[], [reference, reference]]);
        let pulls = 0;
        fresh.pull = async () => {
            pulls += 1;
            await clock.sleep(100);
            return createConfiguration(7);
        };
        fresh.receiveNotice({ version: 7, body: reference }, "old");
        fresh.receiveNotice({ version: 7, body: reference }, "old");
        await clock.advance(100);
        fresh.receiveNotice({ version: 7, body: reference }, "old");
        expect([fresh.readVersion(), pulls]).toEqual([7, 1]);
        await Promise.all([old.keeper.stop(), fresh.keeper.stop()]);
    });

    it("leaves the telling to a few nodes, and never goes back to a lower version that is told", async () => {
        const clock = new FakeClock();
        const setup = new Setup(clock);
        await setup.start(7);
        setup.store(5);
        setup.isTeller = false;
        await clock.advance(3_000);
        expect(setup.published).toEqual([]);
        setup.receive(createConfiguration(6));
        expect(setup.readVersion()).toBe(7);
        await setup.keeper.stop();
    });
});
