import type { TrackedInstance } from "../placement/createTrackedInstance";
import type { UpstreamView } from "../placement/types";
import { UpstreamSelection } from "./UpstreamSelection";

const upstreams = ["v1", "v1", "v2"].map((softwareVersion, index) =>
    ({ instance: { id: `i-${index}`, softwareVersion } }) as TrackedInstance
);

const createSelection = (version?: string, suspectPart?: string, slots = [8, 8, 8]): UpstreamSelection =>
    new UpstreamSelection({
        instances: {
            listUsable: () => upstreams,
            listInService: () => upstreams,
            createViews: instances =>
                instances.map(instance => {
                    const index = upstreams.indexOf(instance);
                    return { id: instance.instance.id, inFlight: 3, slots: slots[index] } as UpstreamView;
                }),
        },
        placement: { choose: (_request, views) => views[0] },
        service: "llm",
        affinityKey: undefined,
        binding: {
            isBound: false,
            matches: ({ softwareVersion }) => version === undefined || softwareVersion === version,
        },
        findSuspect: () => suspectPart,
    });

describe("UpstreamSelection", () => {
    it("chooses each upstream once, with its load, until the tried ones are cleared", () => {
        const selection = createSelection();
        const chosen: TrackedInstance[] = [];
        for (let selected = selection.choose(); selected; selected = selection.choose()) {
            expect(selected.load).toBe(3);
            selection.markTried(selected.upstream);
            chosen.push(selected.upstream);
        }
        expect(chosen).toEqual(upstreams);
        selection.clearTried();
        expect(selection.choose()?.upstream).toBe(upstreams[0]);
    });

    it("chooses only upstreams at which the stream may go on", () => {
        const selection = createSelection("v2");
        expect(selection.choose()?.upstream).toBe(upstreams[2]);
        expect(selection.hasOther(upstreams[2])).toBe(false);
        expect(selection.hasOther(upstreams[0])).toBe(true);
    });

    it("prefers upstreams with a free slot where asked to, and tells whether there is another one", () => {
        const selection = createSelection("v1", undefined, [3, 4, 8]);
        expect(selection.choose()?.upstream).toBe(upstreams[0]);
        expect(selection.choose({ prefersRoom: true })?.upstream).toBe(upstreams[1]);
        expect(selection.hasRoomElsewhere(upstreams[0])).toBe(true);
        expect(selection.hasRoomElsewhere(upstreams[1])).toBe(false);
        selection.markTried(upstreams[1]);
        expect(selection.choose({ prefersRoom: true })?.upstream).toBe(upstreams[0]);
    });

    it("chooses the same single upstream for all requests with a part that may crash upstreams", () => {
        const chosen = createSelection(undefined, "part").choose()!.upstream;
        const selection = createSelection(undefined, "part");
        expect(selection.choose()?.upstream).toBe(chosen);
        expect(selection.hasOther(chosen)).toBe(false);
        selection.markTried(chosen);
        expect(selection.choose()).toBeUndefined();
        const others = ["a", "b", "c", "d"].map(part => createSelection(undefined, part).choose()!.upstream);
        expect(new Set(others).size).toBeGreaterThan(1);
    });
});
