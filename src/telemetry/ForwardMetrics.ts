import { Counter, Histogram, Registry } from "prom-client";
import { createServiceName } from "../kernel/createServiceName";

/** Upper bounds of the histogram buckets, in seconds. */
const durationBucketsS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 4, 8, 16];

/** Metrics of a node that forwards requests. */
export class ForwardMetrics {
    readonly registry = new Registry();
    /** Counts ended requests by route and outcome. */
    readonly requests: Counter;
    /** Counts attempts to send a request to an upstream, by service and outcome. */
    readonly upstreamSends: Counter;
    /** Counts ends of upstreams' answers, by service, framing of the answer and kind of end. */
    readonly answerEnds: Counter;
    /** Counts streams that callers take up, by route and outcome: `bound`, `unknown` or `moved`. */
    readonly takenUpStreams: Counter;
    /** Time from a request's arrival to the first byte of its response, in seconds, by route. */
    readonly firstByteSeconds: Histogram;
    /** Time from a request's arrival to the end of its response, in seconds, by route. */
    readonly durationSeconds: Histogram;

    constructor() {
        const registers = [this.registry];
        this.requests = new Counter({
            name: "sequoiagrade_forwarded_requests_total",
            help: "Ended requests by route and outcome.",
            labelNames: ["route", "outcome"],
            registers,
        });
        this.upstreamSends = new Counter({
            name: "sequoiagrade_upstream_sends_total",
            help: "Sendings of requests to upstreams by service and outcome.",
            labelNames: ["service", "outcome"],
            registers,
        });
        this.answerEnds = new Counter({
            name: "sequoiagrade_upstream_answer_ends_total",
            help: "Ends of upstreams' answers by service, framing (length, chunked, close) and kind of end.",
            labelNames: ["service", "framing", "end"],
            registers,
        });
        this.takenUpStreams = new Counter({
            name: "sequoiagrade_taken_up_streams_total",
            help: "Streams that callers take up, by route and whether what began them is known and allowed.",
            labelNames: ["route", "outcome"],
            registers,
        });
        this.firstByteSeconds = new Histogram({
            name: "sequoiagrade_forward_first_byte_seconds",
            help: "Time from a request's arrival to the first byte of its answer.",
            labelNames: ["route"],
            buckets: durationBucketsS,
            registers,
        });
        this.durationSeconds = new Histogram({
            name: "sequoiagrade_forward_whole_seconds",
            help: "Time from a request's arrival to the end of its answer.",
            labelNames: ["route"],
            buckets: durationBucketsS,
            registers,
        });
    }
}

/** Name under which the metrics are registered as a service. */
export const forwardMetricsName = createServiceName<ForwardMetrics>("forward-metrics");
