import { formatWindowKey } from "./formatWindowKey";

describe("formatWindowKey", () => {
    it("sorts keys as windows", () => {
        const windows = [9, 10, 353_445_120, 2];
        expect(windows.map(formatWindowKey).sort().map(Number)).toEqual([2, 9, 10, 353_445_120]);
    });
});
