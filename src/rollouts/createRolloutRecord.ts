import type { ServingConfiguration } from "../routes/types";
import { findOrderProblem } from "./findOrderProblem";
import type { RolloutStep } from "./planRollout";
import { type RolloutOrder, rolloutPhases, type RolloutRecord } from "./types";

/** Options of {@link createRolloutRecord}. */
export interface CreateRolloutRecordOptions {
    readonly order: RolloutOrder;
    /** Record of the roll-out before; undefined if there was none. */
    readonly before: RolloutRecord | undefined;
    /** Era of the store. */
    readonly era: number;
    /** Configuration in force. */
    readonly configuration: ServingConfiguration;
    /** Versions of the service's upstreams that are listed now. */
    readonly listedVersions: readonly (string | undefined)[];
    /** Present time on the store's clock, in milliseconds. */
    readonly nowMs: number;
    /** Fencing number of the lease under which the record is written. */
    readonly fencing: number;
}

const maxBarred = 32; // versions; upstreams of earlier ones have long stopped

/**
 * Creates the first record of an order. An order that replaces one under way rolls that one back: its version is barred.
 *
 * @param options - the order, the record before and the state of the service
 * @returns the record, already final for an order that cannot be carried out or that asks for nothing
 */
export const createRolloutRecord = (options: CreateRolloutRecordOptions): RolloutRecord => {
    const { order, before, era, configuration, nowMs, fencing } = options;
    const problem = findOrderProblem(order, configuration);
    return {
        service: order.service,
        version: order.version,
        era,
        revision: order.revision,
        previousRevision: before?.revision ?? 0,
        durationMs: order.durationMs,
        isRefused: problem !== undefined,
        ...planFirstStep(options, problem),
        startedStoreMs: nowMs,
        phaseStoreMs: nowMs,
        barred: listBarred(order, before),
        replaced: [],
        fencing,
    };
};

const planFirstStep = (
    { order, listedVersions }: CreateRolloutRecordOptions,
    problem: string | undefined,
): RolloutStep => {
    if (problem !== undefined) {
        return { phase: rolloutPhases.rolledBack, reason: `the order is refused: ${problem}` };
    }
    if (listedVersions.length > 0 && listedVersions.every(version => version === order.version)) {
        return { phase: rolloutPhases.completed, reason: "all upstreams run the version already" };
    }
    return { phase: rolloutPhases.trial, reason: "ordered" };
};

const listBarred = (order: RolloutOrder, before: RolloutRecord | undefined): string[] => {
    const isBarred = before !== undefined && before.phase !== rolloutPhases.completed && !before.isRefused;
    const barred = [...before?.barred ?? [], ...(isBarred ? [before.version] : [])];
    return [...new Set(barred)].filter(version => version !== order.version).slice(-maxBarred);
};
