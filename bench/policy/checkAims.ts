import type { RunFigures } from "./types";

/** An aim with its figure. */
export interface AimResult {
    readonly aim: string;
    readonly where: string;
    readonly figure: number;
    /** The aim's bound, from the stated target. */
    readonly bound: number;
    readonly met: boolean;
}

const inTargetAim = 0.95;
const costShareAim = 0.6; // of all-on-demand with least reported load
const costBoundAim = 1.2; // times the lower bound
const recomputedAim = 0.1; // of restart from nothing
const fairShareAim = 0.95; // of the share within target of all requests

/**
 * Judges the product's runs by the aims.
 *
 * @param runs - of all policies
 * @returns one row per aim and run that it concerns
 */
export const checkAims = (runs: readonly RunFigures[]): AimResult[] =>
    runs.filter(run => run.policy === "product").flatMap(product => {
        const find = (policy: string): RunFigures =>
            runs.find(run =>
                run.policy === policy && run.deployment === product.deployment
                && run.scenario === product.scenario
            )!;
        const where = `${product.deployment}: ${product.scenario}`;
        const createAtMost = (aim: string, figure: number, bound: number): AimResult => ({
            aim,
            where,
            figure,
            bound,
            met: figure <= bound,
        });
        const createAtLeast = (aim: string, figure: number, bound: number): AimResult => ({
            aim,
            where,
            figure,
            bound,
            met: figure >= bound,
        });
        const restarted = find("restart from nothing").recomputedTokens;
        return [
            createAtLeast("share within target", product.allInTarget, inTargetAim),
            createAtMost(
                "cost by on-demand, least load",
                product.costPerThousand / find("least load, on-demand").costPerThousand,
                costShareAim,
            ),
            createAtMost("cost by lower bound", product.costPerThousand / product.costBound, costBoundAim),
            ...restarted > 0
                ? [createAtMost(
                    "recomputed by restart from nothing",
                    product.recomputedTokens / restarted,
                    recomputedAim,
                )]
                : [],
            createAtLeast("small accounts by all", product.smallInTarget / product.allInTarget, fairShareAim),
        ];
    });
