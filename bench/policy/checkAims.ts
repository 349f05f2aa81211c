import type { RunFigures } from "./types";

/** Result of one aim for one run. */
export interface AimResult {
    readonly aim: string;
    /** Deployment and scenario. */
    readonly where: string;
    readonly figure: number;
    /** Bound that the figure has to keep: a minimum or a maximum, by the aim. */
    readonly bound: number;
    readonly met: boolean;
}

const inTargetAim = 0.95; // minimum share of all requests
const costShareAim = 0.6; // maximum, relative to the cost with the policy "least load, on-demand"
const costBoundAim = 1.2; // maximum, relative to the lower bound of the cost
const recomputedAim = 0.1; // maximum, relative to the tokens recomputed with the policy "restart from nothing"
const fairShareAim = 0.95; // minimum, relative to the share of all requests within target

/**
 * Checks the runs of the product's policies against the aims.
 *
 * @param runs - runs of all policies
 * @returns one result per run and aim; the aim for recomputed tokens is left out where a restart recomputes none
 */
export const checkAims = (runs: readonly RunFigures[]): AimResult[] =>
    runs.filter(run => run.policy === "product").flatMap(product => {
        const findRun = (policy: string): RunFigures =>
            runs.find(run =>
                run.policy === policy && run.deployment === product.deployment
                && run.scenario === product.scenario
            )!;
        const where = `${product.deployment}: ${product.scenario}`;
        const createAtMostResult = (aim: string, figure: number, bound: number): AimResult => ({
            aim,
            where,
            figure,
            bound,
            met: figure <= bound,
        });
        const createAtLeastResult = (aim: string, figure: number, bound: number): AimResult => ({
            aim,
            where,
            figure,
            bound,
            met: figure >= bound,
        });
        const restartRecomputedTokens = findRun("restart from nothing").recomputedTokens;
        return [
            createAtLeastResult("share within target", product.allInTarget, inTargetAim),
            createAtMostResult(
                "cost by on-demand, least load",
                product.costPerThousand / findRun("least load, on-demand").costPerThousand,
                costShareAim,
            ),
            createAtMostResult(
                "cost by lower bound",
                product.costPerThousand / product.costBound,
                costBoundAim,
            ),
            ...restartRecomputedTokens > 0
                ? [createAtMostResult(
                    "recomputed by restart from nothing",
                    product.recomputedTokens / restartRecomputedTokens,
                    recomputedAim,
                )]
                : [],
            createAtLeastResult(
                "small accounts by all",
                product.smallInTarget / product.allInTarget,
                fairShareAim,
            ),
        ];
    });
