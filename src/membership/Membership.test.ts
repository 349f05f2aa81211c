import { FakeClock } from "../kernel/FakeClock";
import { GossipMap } from "../peers/GossipMap";
import type { PeerNetwork } from "../peers/PeerNetwork";
import type { PeerAddress } from "../peers/types";
import { EventLog } from "../telemetry/EventLog";
import { Membership } from "./Membership";
import type { Member } from "./types";

const createMember = (nodeId: string, state: Member["state"] = "live"): Member => ({
    nodeId,
    dataCentre: "a",
    callersUrl: `http://${nodeId}`,
    peersUrl: `ws://${nodeId}`,
    state,
    incarnation: 1,
});

/** A membership whose network reaches only the given nodes. */
class Setup {
    readonly clock = new FakeClock();
    readonly events = new EventLog({ node: "self", clock: this.clock });
    readonly gossip = new GossipMap({ nodeId: "self", hybridClock: this.events.hybridClock });
    linked: string[] = [];
    present: readonly PeerAddress[] = [];
    gone: readonly PeerAddress[] = [];
    recorded: readonly PeerAddress[] = [];
    loseLink: (nodeId: string) => void = () => {};
    setUpLink: (nodeId: string) => void = () => {};
    readonly membership: Membership;

    constructor() {
        const readLinked = (): readonly string[] => this.linked;
        const network = {
            registerHandler: () => {},
            onLinkLost: (listener: (nodeId: string) => void) => {
                this.loseLink = listener;
            },
            onLinkUp: (listener: (nodeId: string) => void) => {
                this.setUpLink = listener;
            },
            onHeartbeat: () => {},
            get linkedNodeIds() {
                return readLinked();
            },
            setMembers: (present: readonly PeerAddress[], gone: readonly PeerAddress[]) => {
                this.present = present;
                this.gone = gone;
            },
            setRecorded: (recorded: readonly PeerAddress[]) => {
                this.recorded = recorded;
            },
            call: async (_nodeId: string, _method: string, _payload: unknown, timeoutMs: number) => {
                await this.clock.sleep(timeoutMs);
                throw new Error("no answer");
            },
        } as unknown as PeerNetwork;
        this.membership = new Membership({
            self: createMember("self"),
            clock: this.clock,
            events: this.events,
            gossip: this.gossip,
            network,
            heartbeatMs: 250,
            goneAfterMs: 400,
        });
    }

    async start(...members: Member[]): Promise<void> {
        members.forEach(member => this.gossip.set(`member/${member.nodeId}`, member));
        await this.membership.start();
        await this.clock.advance(50);
    }

    listLive(): string[] {
        return this.membership.listLive().map(member => member.nodeId).sort();
    }

    readAnnounced(nodeId: string): string {
        return (this.gossip.get(`member/${nodeId}`) as Member).state;
    }
}

describe("Membership", () => {
    let setup: Setup;
    beforeEach(() => {
        setup = new Setup();
    });
    afterEach(() => setup.membership.stop());

    it("marks an unreachable member gone for all nodes while it has links to others", async () => {
        await setup.start(createMember("one"), createMember("two"));
        setup.linked = ["two"];
        setup.loseLink("one");
        await setup.clock.advance(2_000);
        expect(setup.listLive()).toEqual(["self", "two"]);
        expect(setup.readAnnounced("one")).toBe("gone");
    });

    it("marks many members gone together, though none of them answers", async () => {
        const names = Array.from({ length: 30 }, (_, index) => `n${index}`);
        await setup.start(...names.map(name => createMember(name)), createMember("two"));
        setup.linked = ["two"];
        names.forEach(name => setup.loseLink(name));
        await setup.clock.advance(2_000);
        expect(setup.listLive()).toEqual(["self", "two"]);
    });

    it("suspects members only for itself while it has no link, and no longer once it has one", async () => {
        await setup.start(createMember("one"), createMember("two"));
        setup.loseLink("one");
        await setup.clock.advance(2_000);
        expect(setup.listLive()).toEqual(["self", "two"]);
        expect(setup.readAnnounced("one")).toBe("live");
        setup.linked = ["two"];
        setup.setUpLink("two");
        expect(setup.listLive()).toEqual(["one", "self", "two"]);
    });

    it("does not list a suspected member at the address of its former process when that of a new one links", async () => {
        await setup.start(createMember("one"));
        setup.loseLink("one");
        await setup.clock.advance(2_000);
        setup.linked = ["one"];
        setup.setUpLink("one");
        expect(setup.listLive()).toEqual(["self"]);
        const restarted = { ...createMember("one"), callersUrl: "http://elsewhere", incarnation: 2 };
        setup.gossip.set("member/one", restarted);
        await setup.clock.advance(50);
        expect(setup.membership.listLive().find(({ nodeId }) => nodeId === "one")).toEqual(restarted);
    });

    it("lists a suspected member again that was only cut off", async () => {
        await setup.start(createMember("one"));
        setup.loseLink("one");
        await setup.clock.advance(2_000);
        setup.linked = ["one"];
        setup.setUpLink("one");
        await setup.clock.advance(300);
        expect(setup.listLive()).toEqual(["one", "self"]);
    });

    // Guards against nodes that each use what is meant for all, since one that has started hears none of the others.
    it("presumes recorded nodes that were never heard to be live, for a while after their records were first seen", async () => {
        const presumedMs = 20_000;
        const count = (): number => setup.membership.countPresumedLive(presumedMs);
        const records = ["self", "one", "two"].map(nodeId => ({ nodeId, url: `ws://${nodeId}` }));
        await setup.start(createMember("two", "gone"), createMember("four", "gone"));
        setup.membership.setRecordedNodes(records);
        expect(count()).toBe(3);
        await setup.clock.advance(presumedMs - 1_000);
        setup.membership.setRecordedNodes([...records, { nodeId: "three", url: "ws://three" }]);
        expect(count()).toBe(4);
        await setup.clock.advance(2_000);
        expect(count()).toBe(2);
        setup.gossip.set("member/one", createMember("one"));
        await setup.clock.advance(50);
        expect(count()).toBe(3);
        setup.gossip.set("member/one", createMember("one", "gone"));
        await setup.clock.advance(presumedMs);
        expect(count()).toBe(2);
        await setup.clock.advance(50);
        setup.membership.setRecordedNodes(records);
        expect(count()).toBe(1);
    });

    it("goes on dialling recorded nodes that are gone, and those that it knows nothing of, which are no members", async () => {
        await setup.start(createMember("one", "gone"), createMember("two"));
        setup.membership.setRecordedNodes([{ nodeId: "one", url: "ws://one" }, {
            nodeId: "new",
            url: "ws://new",
        }]);
        expect(setup.present.map(node => node.nodeId).sort()).toEqual(["self", "two"]);
        expect(setup.gone.map(node => node.nodeId)).toEqual(["one"]);
        expect(setup.recorded.map(node => node.nodeId)).toEqual(["one", "new"]);
    });
});
