import type { TrackedInstance } from "../placement/InstanceRegistry";
import type { UpstreamView } from "../placement/types";
import { UpstreamSelection } from "./UpstreamSelection";

const upstreams = ["v1", "v1", "v2"].map((softwareVersion, index) =>
    ({ instance: { id: `i-${index}`, softwareVersion } }) as TrackedInstance
);

const createSelection = (version?: string): UpstreamSelection =>
    new UpstreamSelection({
        instances: {
            listUsable: () => upstreams,
            createViews: instances =>
                instances.map(({ instance }) => ({ id: instance.id, inFlight: 3 }) as UpstreamView),
        },
        placement: { choose: (_request, views) => views[0] },
        service: "llm",
        affinityKey: undefined,
        binding: { matches: ({ softwareVersion }) => version === undefined || softwareVersion === version },
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
});
