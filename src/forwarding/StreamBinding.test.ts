import type { TrackedInstance } from "../placement/createTrackedInstance";
import { StreamBinding, type StreamBindingOptions } from "./StreamBinding";

const createBinding = (
    listed: readonly (string | undefined)[],
    origin?: StreamBindingOptions["origin"],
): StreamBinding =>
    new StreamBinding({
        instances: {
            listInService: () =>
                listed.map(softwareVersion => ({ instance: { softwareVersion } }) as TrackedInstance),
        },
        service: "llm",
        origin,
    });

describe("StreamBinding", () => {
    it("allows every upstream before the first answer, and those of its version afterwards", () => {
        const binding = createBinding(["v1", "v2"]);
        expect(binding.matches({ softwareVersion: "v2" })).toBe(true);
        expect(binding.isGone()).toBe(false);
        binding.adopt({ softwareVersion: "v1" });
        binding.adopt({ softwareVersion: "v2" });
        expect(binding.softwareVersion).toBe("v1");
        expect(binding.matches({ softwareVersion: "v1" })).toBe(true);
        expect(binding.matches({ softwareVersion: "v2" })).toBe(false);
    });

    it("allows only the version that began a stream that is taken up", () => {
        const binding = createBinding(["v2"], { service: "llm", softwareVersion: "v1" });
        expect(binding.matches({ softwareVersion: "v2" })).toBe(false);
        expect(binding.isGone()).toBe(true);
    });

    it("allows no further upstream where the version of the first one is not known", () => {
        const binding = createBinding([undefined, "v1"]);
        binding.adopt({});
        expect(binding.matches({})).toBe(false);
        expect(binding.matches({ softwareVersion: "v1" })).toBe(false);
        expect(binding.isGone()).toBe(true);
    });
});
