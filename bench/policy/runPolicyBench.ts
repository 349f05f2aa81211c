import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { formatTable } from "../../src/cli/formatTable";
import { createPlot } from "./createPlot";
import { type AimResult, checkAims } from "./checkAims";
import { runScenario } from "./runScenario";
import { deployments, policySets, scenarios } from "./setups";
import type { RunFigures } from "./types";

/** All figures of the policy bench. */
export interface PolicyFigures {
    readonly seed: number;
    readonly runs: readonly RunFigures[];
    readonly aims: readonly AimResult[];
}

/**
 * Simulates every combination of deployment, scenario and policy set with the same seed.
 *
 * @param seed - seed of arrivals, prompts and random choices
 */
export const runPolicyBench = async (seed: number): Promise<PolicyFigures> => {
    const runs: RunFigures[] = [];
    for (const deployment of deployments) {
        for (const scenario of scenarios) {
            for (const policies of policySets) {
                runs.push(await runScenario(deployment, scenario, policies, seed));
            }
        }
    }
    return { seed, runs, aims: checkAims(runs) };
};

/** Formats the runs and the results of the aims as two tables. */
export const formatPolicyFigures = (figures: PolicyFigures): string => {
    const toPercent = (share: number): string => `${(share * 100).toFixed(1)} %`;
    const runs = formatTable(
        [
            "deployment",
            "scenario",
            "policy",
            "asked",
            "first token",
            "between",
            "whole",
            "all",
            "cost/1000",
            "bound",
            "recomputed",
            "small",
            "large",
            "refused",
        ],
        figures.runs.map(run => [
            run.deployment,
            run.scenario,
            run.policy,
            run.asked,
            toPercent(run.firstTokenInTarget),
            toPercent(run.betweenTokensInTarget),
            toPercent(run.wholeInTarget),
            toPercent(run.allInTarget),
            run.costPerThousand.toFixed(3),
            run.costBound.toFixed(3),
            run.recomputedTokens,
            toPercent(run.smallInTarget),
            toPercent(run.largeInTarget),
            Object.entries(run.refusals).map(([name, count]) => `${name}: ${count}`).join(", ") || "-",
        ]),
    );
    const aims = formatTable(
        ["aim", "where", "figure", "bound", ""],
        figures.aims.map(
            aim => [
                aim.aim,
                aim.where,
                aim.figure.toFixed(3),
                aim.bound.toFixed(3),
                aim.met ? "met" : "NOT MET",
            ],
        ),
    );
    return `${runs}\n\n${aims}`;
};

/**
 * Writes one SVG plot for each of the main figures.
 *
 * @param figures - figures of one run of the bench
 * @param folder - target folder; created when it does not exist
 */
export const writePlots = async (figures: PolicyFigures, folder: string): Promise<void> => {
    mkdirSync(folder, { recursive: true });
    const writePlot = async (
        name: string,
        title: string,
        axis: string,
        read: (run: RunFigures) => number,
    ): Promise<void> =>
        writeFileSync(
            join(folder, `${name}.svg`),
            await createPlot({ title, axisName: axis, readValue: read, figures: figures.runs }),
        );
    await writePlot("within-target", "Requests within all targets", "share", run => run.allInTarget);
    await writePlot("cost", "Cost per thousand answers within target", "price", run => run.costPerThousand);
    await writePlot("recomputed", "Tokens computed again", "tokens", run => run.recomputedTokens);
    await writePlot(
        "small-accounts",
        "Requests of small accounts within all targets",
        "share",
        run => run.smallInTarget,
    );
};
