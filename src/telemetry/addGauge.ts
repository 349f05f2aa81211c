import { Gauge, type Registry } from "prom-client";

/** One value of a gauge. */
export interface GaugeValue {
    readonly labels?: Record<string, string>;
    readonly value: number;
}

/** Options of {@link addGauge}. */
export interface AddGaugeOptions {
    readonly registry: Registry;
    /** Metric name with its unit. */
    readonly name: string;
    /** One-line description. */
    readonly help: string;
    /** Default: none. */
    readonly labelNames?: readonly string[];
    /** Reads the current values. */
    readonly read: () => readonly GaugeValue[];
}

/**
 * Adds a gauge that is read when metrics are collected.
 *
 * @param options - name and reader
 */
export const addGauge = (options: AddGaugeOptions): void => {
    const { registry, name, help, labelNames = [], read } = options;
    const gauge = new Gauge({
        name,
        help,
        labelNames: [...labelNames],
        registers: [registry],
        collect: () => {
            gauge.reset();
            read().forEach(({ labels, value }) => gauge.set(labels ?? {}, value));
        },
    });
};
