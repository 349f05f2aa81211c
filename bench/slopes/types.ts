/** Value measured at one size. */
export interface MeasuredPoint {
    readonly size: number;
    readonly value: number;
}

/** Least-squares line through measured points. */
export interface LinearFit {
    /** Name of the measured value, with its unit. */
    readonly figure: string;
    /** Unit of the size, such as `VM` or `call at once`. */
    readonly per: string;
    readonly points: readonly MeasuredPoint[];
    /** Growth of the value per unit of size. */
    readonly slope: number;
    readonly intercept: number;
    /** Coefficient of determination (R²): share of the variance that the line explains, 0 to 1. */
    readonly fit: number;
    /** Largest residual of a point, as a share of the largest absolute value. */
    readonly spread: number;
}
