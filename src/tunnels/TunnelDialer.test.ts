import { Socket } from "node:net";
import { ObservableValue } from "../_lib/ObservableValue";
import { FakeClock } from "../kernel/FakeClock";
import type { Member } from "../membership/types";
import type { OpenTunnelOptions } from "./openTunnel";
import { TunnelDialer } from "./TunnelDialer";

const createMember = (nodeId: string, dataCentre: string): Member => ({
    nodeId,
    dataCentre,
    callersUrl: "",
    peersUrl: `ws://${nodeId}:1`,
    state: "live",
    incarnation: 1,
});

describe("TunnelDialer", () => {
    const clock = new FakeClock();
    let asked: string[];
    let cutOff: Set<string>;
    let members: Member[];
    let changes: ObservableValue<readonly Member[]>;
    let dialer: TunnelDialer;

    beforeEach(() => {
        asked = [];
        cutOff = new Set();
        changes = new ObservableValue<readonly Member[]>([]);
        members = [createMember("self", "a"), createMember("near", "a"), createMember("far", "b")];
        dialer = new TunnelDialer({
            nodeId: "self",
            dataCentre: "a",
            membership: { listLive: () => members, members: changes },
            readClusterKey: () => "key",
            clock,
            random: { drawFloat: () => 0.5, drawInt: () => 0, drawId: () => "" },
            open: async ({ member }: OpenTunnelOptions) => {
                asked.push(member);
                if (cutOff.has(member)) {
                    throw new Error("cut off");
                }
                return new Socket();
            },
        });
    });

    it("asks a member of another data centre first", async () => {
        await dialer.open("upstream:1");
        expect(asked).toEqual(["far:1"]);
    });

    it("tries another member, and avoids the one that failed for a time", async () => {
        cutOff.add("far:1");
        await dialer.open("upstream:1");
        await dialer.open("upstream:1");
        expect(asked).toEqual(["far:1", "near:1", "near:1"]);
        await clock.advance(3_000);
        await dialer.open("upstream:1");
        expect(asked.at(-2)).toBe("far:1");
    });

    it("tells once when a member through which connections were opened has left", async () => {
        let told = 0;
        await dialer.start();
        dialer.onMemberLeft(() => {
            told += 1;
        });
        await dialer.open("upstream:1");
        const [self, near, far] = members;
        members = [self, far];
        changes.set(members);
        expect(told).toBe(0);
        members = [self, near];
        changes.set(members);
        changes.set([...members]);
        expect(told).toBe(1);
    });

    it("fails where no member reaches the upstream, or there is none", async () => {
        ["far:1", "near:1"].forEach(member => cutOff.add(member));
        await expect(dialer.open("upstream:1")).rejects.toThrow("cut off");
        expect(asked).toHaveLength(2);
        members = [];
        await expect(dialer.open("upstream:1")).rejects.toThrow("no other member is live");
    });
});
