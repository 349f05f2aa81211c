import type { LinearFit, MeasuredPoint } from "./types";

/**
 * Fits a straight line by least squares.
 *
 * @param figure - name of the measured value, with its unit
 * @param per - unit of the size
 * @param points - values at three or more sizes
 * @returns the line and how well it fits the points
 */
export const fitLine = (figure: string, per: string, points: readonly MeasuredPoint[]): LinearFit => {
    const count = points.length;
    const meanSize = points.reduce((sum, point) => sum + point.size, 0) / count;
    const meanValue = points.reduce((sum, point) => sum + point.value, 0) / count;
    const covariance = points.reduce(
        (sum, point) => sum + (point.size - meanSize) * (point.value - meanValue),
        0,
    );
    const variance = points.reduce((sum, point) => sum + (point.size - meanSize) ** 2, 0);
    const slope = covariance / variance;
    const intercept = meanValue - slope * meanSize;
    const residuals = points.map(point => point.value - intercept - slope * point.size);
    const unexplained = residuals.reduce((sum, residual) => sum + residual ** 2, 0);
    const total = points.reduce((sum, point) => sum + (point.value - meanValue) ** 2, 0);
    const largest = Math.max(...points.map(point => Math.abs(point.value)), Number.MIN_VALUE);
    return {
        figure,
        per,
        points,
        slope,
        intercept,
        fit: total === 0 ? 1 : 1 - unexplained / total,
        spread: Math.max(...residuals.map(Math.abs)) / largest,
    };
};
