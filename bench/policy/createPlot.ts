import type { RunFigures } from "./types";

/** Options of {@link createPlot}. */
export interface CreatePlotOptions {
    readonly title: string;
    readonly figures: readonly RunFigures[];
    /** Reads the plotted value of a run. */
    readonly readValue: (figures: RunFigures) => number;
    readonly axisName: string;
}

const width = 1_000; // pixels
const height = 420; // pixels

/**
 * Draws one value of all runs as a bar chart, with a bar per policy for each deployment and scenario.
 *
 * @param options - title, runs and value
 * @returns SVG text
 */
export const createPlot = async (options: CreatePlotOptions): Promise<string> => {
    const echarts = await import("echarts"); // an ES module, loaded dynamically
    const groups = [...new Set(options.figures.map(formatGroupName))];
    const policies = [...new Set(options.figures.map(figures => figures.policy))];
    const chart = echarts.init(null, null, { renderer: "svg", ssr: true, width, height });
    chart.setOption({
        animation: false,
        title: { text: options.title },
        legend: { top: 28 },
        grid: { top: 70, bottom: 90, left: 70, right: 20 },
        xAxis: { type: "category", data: groups, axisLabel: { rotate: 20, interval: 0 } },
        yAxis: { type: "value", name: options.axisName },
        series: policies.map(policy => ({
            name: policy,
            type: "bar",
            data: groups.map(group => {
                const run = options.figures.find(figures =>
                    formatGroupName(figures) === group && figures.policy === policy
                );
                return run ? options.readValue(run) : undefined;
            }),
        })),
    });
    const svg = chart.renderToSVGString();
    chart.dispose();
    return svg;
};

const formatGroupName = (figures: RunFigures): string => `${figures.deployment}: ${figures.scenario}`;
