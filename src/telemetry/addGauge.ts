import { Gauge, type Registry } from "prom-client";

/** Value of a gauge for one combination of labels. */
export interface GaugeValue {
    readonly labels?: Record<string, string>;
    readonly value: number;
}

/** Options of {@link addGauge}. */
export interface AddGaugeOptions {
    readonly registry: Registry;
    /** Name of the metric, which ends with its unit if it has one. */
    readonly name: string;
    /** One-line description for the metrics output. */
    readonly help: string;
    /** Names of the labels; default: none. */
    readonly labelNames?: readonly string[];
    /** Reads the current values; label combinations that it does not return are removed. */
    readonly read: () => readonly GaugeValue[];
}

/**
 * Registers a gauge whose values are read each time the metrics are collected.
 *
 * @param options - registry, name, labels and reader of the gauge
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
