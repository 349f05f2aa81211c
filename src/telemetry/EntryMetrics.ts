import { Counter, Histogram, Registry } from "prom-client";
import { createServiceName } from "../kernel/createServiceName";
import type { RequestRecord } from "../streams/RequestRecord";

/** Upper bounds of histogram buckets for the time to the first token, in seconds. */
const durationBucketsS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.1, 2.5, 5, 10, 30, 60, 300];
/** Upper bounds of histogram buckets for the time between tokens, in seconds. */
const tokenIntervalBucketsS = [0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.1, 0.25, 1];
const msPerSecond = 1_000;

/** Metrics of an entry node: model requests, calls to plain services, and refusals. */
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
    private readonly endedRequests = this.createCounter(
        "sequoiagrade_requests_total",
        "Ended model requests.",
        [
            "class",
            "state",
        ],
    );
    private readonly requestsWithinTarget = this.createCounter(
        "sequoiagrade_requests_within_target_total",
        "Answered model requests that met each part of their target.",
        ["class", "part"],
    );
    private readonly firstTokenSeconds = this.createHistogram(
        "sequoiagrade_first_token_seconds",
        "Time from acceptance to the first token.",
        durationBucketsS,
    );
    private readonly betweenTokensSeconds = this.createHistogram(
        "sequoiagrade_between_tokens_seconds",
        "Mean time between tokens of a request.",
        tokenIntervalBucketsS,
    );

    /**
     * Records an ended model request and, if it was answered, its latencies and which targets of its class it met.
     *
     * @param record - the ended request
     */
    observeRequest(record: RequestRecord): void {
        const { workClass, acceptedAtMs } = record.description;
        this.endedRequests.inc({ class: workClass.name, state: record.state });
        if (record.state !== "answered" || record.firstTokenAtMs === undefined) {
            return;
        }
        const firstTokenMs = record.firstTokenAtMs - acceptedAtMs;
        const decodeMs = record.endedAtMs! - record.firstTokenAtMs;
        const betweenTokensMs = decodeMs / Math.max(1, record.log.nextOffset - 1);
        this.firstTokenSeconds.observe({ class: workClass.name }, firstTokenMs / msPerSecond);
        this.betweenTokensSeconds.observe({ class: workClass.name }, betweenTokensMs / msPerSecond);
        const { latency } = workClass;
        this.countWithinTarget(workClass.name, "first-token", firstTokenMs <= latency.firstTokenMs);
        this.countWithinTarget(workClass.name, "between-tokens", betweenTokensMs <= latency.betweenTokensMs);
        this.countWithinTarget(workClass.name, "whole", record.endedAtMs! - acceptedAtMs <= latency.wholeMs);
    }

    /** Counts a request if it met one part of its latency target. */
    private countWithinTarget(className: string, part: string, isMet: boolean): void {
        if (isMet) {
            this.requestsWithinTarget.inc({ class: className, part });
        }
    }

    private createCounter(name: string, help: string, labelNames: string[]): Counter {
        return new Counter({ name, help, labelNames, registers: [this.registry] });
    }

    private createHistogram(name: string, help: string, buckets: number[]): Histogram {
        return new Histogram({ name, help, buckets, labelNames: ["class"], registers: [this.registry] });
    }
}

/** Name under which the metrics are registered as a service. */
export const entryMetricsName = createServiceName<EntryMetrics>("metrics");
