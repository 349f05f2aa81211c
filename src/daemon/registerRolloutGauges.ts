import type { FindService } from "../kernel/types";
import { sumCounts } from "../rollouts/AnswerSeries";
import type { RolloutState } from "../rollouts/RolloutState";
import { rolloutTrackerName } from "../rollouts/RolloutTracker";
import { addGauge, type GaugeValue } from "../telemetry/addGauge";
import { forwardMetricsName } from "../telemetry/ForwardMetrics";

/**
 * Registers the gauges of the newest roll-out of each service. They are missing where there was none.
 *
 * @param find - finds the node's services
 */
export const registerRolloutGauges = (find: FindService): void => {
    const { registry } = find(forwardMetricsName);
    const tracker = find(rolloutTrackerName);
    const addByRollout = (
        name: string,
        help: string,
        labelNames: readonly string[],
        read: (state: RolloutState) => readonly GaugeValue[],
    ): void =>
        addGauge({
            registry,
            name,
            help,
            labelNames: ["service", "version", ...labelNames],
            read: () =>
                tracker.listStates().flatMap(state => {
                    const { service, version } = state.record;
                    return read(state).map(({ labels, value }) => ({
                        labels: { service, version, ...labels },
                        value,
                    }));
                }),
        });
    addByRollout(
        "sequoiagrade_rollout_phase",
        "1 for the present phase: trial, moving, completed or rolled-back.",
        ["phase"],
        ({ record }) => [{ labels: { phase: record.phase }, value: 1 }],
    );
    addByRollout(
        "sequoiagrade_rollout_verdict",
        "1 for this node's verdict on the version: open, good or bad.",
        ["verdict"],
        ({ verdict }) => [{ labels: { verdict: verdict.kind }, value: 1 }],
    );
    addByRollout(
        "sequoiagrade_rollout_answers",
        "Answers of all nodes' requests, by whether they are the version's, and good or bad.",
        ["of", "quality"],
        state => {
            const evidence = tracker.readSums(state).listEvidence();
            const candidate = sumCounts(evidence.flatMap(({ candidates }) => [...candidates.values()]));
            const others = sumCounts(evidence.map(({ baseline }) => baseline));
            return Object.entries({ version: candidate, others }).flatMap(([of, counts]) =>
                Object.entries(counts).map(([quality, value]) => ({ labels: { of, quality }, value }))
            );
        },
    );
    addByRollout(
        "sequoiagrade_rollout_exposed_requests",
        "Requests that this node has sent to the version.",
        [],
        ({ exposed }) => [{ value: exposed }],
    );
    addByRollout(
        "sequoiagrade_rollout_informed",
        "1 while this node knows the others' answers, without which it sends nothing to a version on trial.",
        [],
        ({ isInformed }) => [{ value: Number(isInformed) }],
    );
};
