import { ObservableValue } from "./ObservableValue";

describe("Observed", () => {
    it("tells a listener every value, also one that is set in the same turn", () => {
        const observed = new ObservableValue(1);
        const heard: number[] = [];
        observed.onChange(value => heard.push(value));
        observed.set(2);
        observed.set(3);
        expect(heard).toEqual([2, 3]);
        expect(observed.value).toBe(3);
    });

    it("tells a stream the values set after its subscription", async () => {
        const observed = new ObservableValue(1);
        const heard: number[] = [];
        void observed.changes.observe(value => heard.push(value));
        const pause = () => new Promise(resolve => setTimeout(resolve, 5));
        await pause();
        observed.set(2);
        await pause();
        expect(heard).toEqual([2]);
    });
});
