/** Shapes of measured slopes. */

/** One measured size. */
export interface MeasuredPoint {
    readonly size: number;
    readonly value: number;
}

/** A straight line through measured points. */
export interface LinearFit {
    /** What was measured, with its unit. */
    readonly figure: string;
    /** What the size counts. */
    readonly per: string;
    readonly points: readonly MeasuredPoint[];
    /** Growth per unit of size. */
    readonly slope: number;
    readonly intercept: number;
    /** Share of the variance that the line explains, 0 to 1. */
    readonly fit: number;
    /** Largest distance of a point from the line, as a share of the largest value. */
    readonly spread: number;
}
