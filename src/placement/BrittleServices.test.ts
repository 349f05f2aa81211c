import { FakeClock } from "../kernel/FakeClock";
import { EventLog } from "../telemetry/EventLog";
import { BrittleServices } from "./BrittleServices";
import type { UpstreamInstance } from "./types";

const instances = ["a", "b"].map(id => ({ id, slots: 8 }) as UpstreamInstance);

describe("BrittleServices", () => {
    let clock: FakeClock;
    let nodes: BrittleServices[];
    let published: number;

    beforeEach(async () => {
        clock = new FakeClock();
        published = 0;
        const listeners: ((value: never, fromNode: string) => void)[] = [];
        nodes = [0, 1, 2].map(rank =>
            new BrittleServices({
                reports: {
                    publish: (topic, value) => {
                        published += 1;
                        const parsed = topic.schema.parse(value) as never;
                        listeners.filter((_unused, other) => other !== rank).forEach(listener =>
                            listener(parsed, "member")
                        );
                    },
                    listen: (_topic, onReceived) => void listeners.push(onReceived),
                },
                readNodes: () => ({ rank, presumedNodes: 3 }),
                clock,
                events: new EventLog({ node: "n", clock }),
            })
        );
        await Promise.all(nodes.map(node => node.start()));
    });

    const sumLimits = (id: string): number =>
        nodes.reduce((sum, node) => sum + (node.listLimits("app", instances)?.get(id) ?? Infinity), 0);

    it("keeps all nodes together below the slots of each upstream once one has heard it", () => {
        expect(nodes[0].listLimits("app", instances)).toBeUndefined();
        nodes[0].observe("app", 4);
        instances.forEach(({ id }) => expect(sumLimits(id)).toBe(6));
        expect(nodes[1].listLimits("other", instances)).toBeUndefined();
    });

    it("tells the others again from time to time only, and ends where no node hears it", async () => {
        for (let passedMs = 0; passedMs < 4_000; passedMs += 100) {
            nodes.forEach(node => node.observe("app", 4));
            await clock.advance(100);
        }
        expect(published).toBe(2);
        await clock.advance(10_001);
        expect(nodes.map(node => node.isBrittle("app"))).toEqual([false, false, false]);
    });

    it("ends on all nodes with an answer that does not say so, but not with one sent before", async () => {
        nodes[0].observe("app", 4);
        await clock.advance(100);
        nodes[1].observe("app", undefined);
        expect(nodes[2].isBrittle("app")).toBe(true);
        await clock.advance(400);
        nodes[1].observe("app", undefined);
        expect(nodes.map(node => node.isBrittle("app"))).toEqual([false, false, false]);
    });
});
