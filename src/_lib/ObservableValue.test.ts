import { ObservableValue } from "./ObservableValue";

describe("ObservableValue", () => {
    it("notifies a listener of every value, including values set in the same turn of the event loop", () => {
        const observed = new ObservableValue(1);
        const heard: number[] = [];
        observed.onChange(value => heard.push(value));
        observed.set(2);
        observed.set(3);
        expect(heard).toEqual([2, 3]);
        expect(observed.value).toBe(3);
    });

    it("emits the values set after the subscription on a stream", async () => {
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
