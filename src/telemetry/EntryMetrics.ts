import { Counter, Histogram, Registry } from "prom-client";
import { createServiceName } from "../kernel/createServiceName";
import type { RequestRecord } from "../streams/RequestRecord";

const secondsBuckets = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.1, 2.5, 5, 10, 30, 60, 300];
const tokenSecondsBuckets = [0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.1, 0.25, 1];
const msPerSecond = 1_000;

/** Metrics of one node, with units in their names. */
export class EntryMetrics {
    readonly registry = new Registry();
    readonly refusals = this.createCounter("sequoiagrade_refusals_total", "Refused requests.", ["code"]);
    readonly plainServiceCalls = this.createCounter(
        "sequoiagrade_service_calls_total",
        "Calls to plain services.",
        [
            "service",
            "outcome",
        ],
    );
    private readonly requests = this.createCounter("sequoiagrade_requests_total", "Ended model requests.", [
        "class",
        "state",
    ]);
    private readonly inTarget = this.createCounter(
        "sequoiagrade_requests_within_target_total",
        "Answered model requests that met each part of their target.",
        ["class", "part"],
    );
    private readonly firstToken = this.createHistogram(
        "sequoiagrade_first_token_seconds",
        "Time from acceptance to the first token.",
        secondsBuckets,
    );
    private readonly betweenTokens = this.createHistogram(
        "sequoiagrade_between_tokens_seconds",
        "Mean time between tokens of a request.",
        tokenSecondsBuckets,
    );

    /** Counts an ended model request against its class's target. */
    observeRequest(record: RequestRecord): void {
        const { workClass, acceptedAtMs } = record.description;
        this.requests.inc({ class: workClass.name, state: record.state });
        if (record.state !== "answered" || record.firstTokenAtMs === undefined) {
            return;
        }
        const firstTokenMs = record.firstTokenAtMs - acceptedAtMs;
        const decodeMs = record.endedAtMs! - record.firstTokenAtMs;
        const betweenMs = decodeMs / Math.max(1, record.log.nextOffset - 1);
        this.firstToken.observe({ class: workClass.name }, firstTokenMs / msPerSecond);
        this.betweenTokens.observe({ class: workClass.name }, betweenMs / msPerSecond);
        const { latency } = workClass;
        this.countPart(workClass.name, "first-token", firstTokenMs <= latency.firstTokenMs);
        this.countPart(workClass.name, "between-tokens", betweenMs <= latency.betweenTokensMs);
        this.countPart(workClass.name, "whole", record.endedAtMs! - acceptedAtMs <= latency.wholeMs);
    }

    private countPart(className: string, part: string, met: boolean): void {
        if (met) {
            this.inTarget.inc({ class: className, part });
        }
    }

    private createCounter(name: string, help: string, labelNames: string[]): Counter {
        return new Counter({ name, help, labelNames, registers: [this.registry] });
    }

    private createHistogram(name: string, help: string, buckets: number[]): Histogram {
        return new Histogram({ name, help, buckets, labelNames: ["class"], registers: [this.registry] });
    }
}

/** Name of the metrics service. */
export const entryMetricsName = createServiceName<EntryMetrics>("metrics");
