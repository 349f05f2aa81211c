/** Mean of values in which older values count less. */
export class DecayedMean {
    private mean = 0;
    private count = 0;

    /** @param weight - weight of each further value once there are several, above 0 and at most 1 */
    constructor(private readonly weight: number) {}

    /** The mean; undefined before the first value. */
    get value(): number | undefined {
        return this.count === 0 ? undefined : this.mean;
    }

    /** Adds a value. The first ones count alike. */
    add(value: number): void {
        this.count += 1;
        this.mean += (value - this.mean) * Math.max(this.weight, 1 / this.count);
    }
}
