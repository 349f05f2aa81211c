import { ObservableValue } from "../_lib/ObservableValue";
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
class Setup {
    readonly records = new ObservableValue<Records>(undefined);
    readonly published: ServingConfiguration[] = [];
    isTeller = true;
    receive: (configuration: ServingConfiguration) => void = () => {};
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
                publish: (_topic, value) =>
                    void this.published.push(value as unknown as ServingConfiguration),
                listen: (_topic, onReceived) => {
                    this.receive = onReceived as unknown as (configuration: ServingConfiguration) => void;
                },
            },
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
