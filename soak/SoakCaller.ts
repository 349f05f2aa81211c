import type { RandomSource } from "../src/kernel/types";
import type { FailureBody } from "../src/results/formatFailure";
import type { RunState } from "../src/results/types";
import { pause } from "../standins/pause";
import { generateAnswer } from "../standins/generateToken";
import type { ReceivedStream } from "../standins/readEventStream";
import { TestCaller, type TestResponse } from "../standins/TestCaller";
import type { SoakCluster, SoakNode } from "./SoakCluster";
import { soakAccounts } from "./soakSetup";
import type { SoakTally } from "./SoakTally";

/** Options of {@link SoakCaller}. */
export interface SoakCallerOptions {
    readonly number: number;
    readonly cluster: SoakCluster;
    readonly random: RandomSource;
    readonly tally: SoakTally;
    /** Last outcome that was reported to the caller of each booking, by idempotency key. */
    readonly bookings: Map<string, RunState | "answered">;
}

const minAnswerTokens = 20;
const answerTokenRange = 400;
const streamTimeoutMs = 40_000;
const batchTimeoutMs = 90_000;
const retryDelayMs = 300;
const maxBookingAttempts = 6;
const slowBookingShare = 6; // one in so many bookings has a body that ends late
const maxBodyMs = 4_000;
const responseTimeoutMs = 15_000; // without a response for this long, the caller tries again

/** Simulated caller that requests drafts, batch summaries, bookings and status, and checks the responses. */
export class SoakCaller {
    private readonly caller: TestCaller;
    private requestCount = 0;

    constructor(private readonly options: SoakCallerOptions) {
        this.caller = new TestCaller(soakAccounts[options.number % soakAccounts.length].key);
    }

    /** Sends a request of a random kind and follows it to its outcome. */
    async runRandomStep(): Promise<void> {
        this.requestCount += 1;
        const name = `${this.options.number}-${this.requestCount}`;
        const choice = this.options.random.drawInt(10);
        if (choice < 5) {
            await this.streamDraft(name);
        }
        else if (choice < 7) {
            await this.requestSummary(name);
        }
        else if (choice < 9) {
            await this.book(name);
        }
        else {
            await this.requestStatus();
        }
    }

    /** Streams a draft, resumes it after each break and checks the result. */
    private async streamDraft(name: string): Promise<void> {
        const { tally } = this.options;
        const startedMs = Date.now();
        const node = this.pickNode();
        const prompt = `Draft a season cutting plan ${name}.`;
        const maxTokens = minAnswerTokens + this.options.random.drawInt(answerTokenRange);
        const first = await this.openStream(node, prompt, {}, maxTokens).catch(() => undefined);
        if (!first || first.requestId === undefined) {
            this.countRefusal(first, "draft");
            return;
        }
        tally.count("drafts accepted");
        const outcome = await this.followStream(first, startedMs, streamTimeoutMs);
        this.checkStream(this.generateExpected(prompt, maxTokens), outcome, first.requestId, startedMs);
    }

    /** Requests a batch summary, which is stored once it is accepted, and checks that it is answered. */
    private async requestSummary(name: string): Promise<void> {
        const { tally } = this.options;
        const startedMs = Date.now();
        const prompt = `Summarise batch ${name}.`;
        const first = await this.openStream(this.pickNode(), prompt, { "work-class": "batch" }).catch(() =>
            undefined
        );
        if (!first || first.requestId === undefined) {
            this.countRefusal(first, "batch");
            return;
        }
        tally.count("batches accepted");
        if (first.isWhole) {
            tally.count("batches answered");
            tally.check(
                "whole answers",
                first.text === this.generateExpected(prompt),
                () => `batch ${first.requestId}`,
            );
            return;
        }
        const text = await this.waitForSummary(first.requestId, startedMs);
        tally.check("accepted batch work is answered", text !== undefined, () => `batch ${first.requestId}`);
        tally.check(
            "whole answers",
            text === undefined || text === this.generateExpected(prompt),
            () => `kept batch ${first.requestId}`,
        );
        if (text !== undefined) {
            tally.count("batches answered");
        }
    }

    /** Retries a booking with one idempotency key on random nodes until it succeeds or the attempts are used up. */
    private async book(name: string): Promise<void> {
        const { bookings, tally, cluster, random } = this.options;
        const key = `booking-${name}`;
        for (let attempt = 0; attempt < maxBookingAttempts; attempt += 1) {
            const answer = await this.bookOnce(key);
            tally.count("booking calls");
            if (answer?.status === 201) {
                bookings.set(key, "answered");
                tally.count("bookings answered");
                return;
            }
            const run = answer ? (answer.body as unknown as FailureBody).error?.run : "unknown";
            bookings.set(key, run ?? "unknown");
            if (cluster.nodes.length === 0 || random.drawInt(4) === 0) {
                break;
            }
            await pause(retryDelayMs);
        }
        tally.count(`bookings ended ${bookings.get(key)}`);
    }

    private async bookOnce(key: string): Promise<TestResponse | undefined> {
        const { random } = this.options;
        const bodyMs = random.drawInt(slowBookingShare) === 0 ? random.drawInt(maxBodyMs) : 0;
        const answer = bodyMs > 0
            ? this.caller.bookSlowly(this.pickNode(), key, bodyMs)
            : this.caller.book(this.pickNode(), key);
        return waitWithTimeout(answer, responseTimeoutMs);
    }

    private async requestStatus(): Promise<void> {
        const answer = await waitWithTimeout(
            this.caller.call(this.pickNode(), "/v1/services/roster/status"),
            responseTimeoutMs,
        );
        this.options.tally.count(answer?.status === 200 ? "look-ups answered" : "look-ups refused");
    }

    private async openStream(
        node: SoakNode,
        prompt: string,
        headers: Record<string, string>,
        maxTokens?: number,
    ): Promise<ReceivedStream> {
        const stream = this.caller.stream(node, prompt, { max_tokens: maxTokens }, headers);
        return await waitWithTimeout(stream, streamTimeoutMs) ?? { ...emptyStream };
    }

    /**
     * Resumes a stream on random nodes after the last event received, until it is complete, has failed or times out.
     */
    private async followStream(
        first: ReceivedStream,
        startedMs: number,
        limitMs: number,
    ): Promise<{ text: string; isWhole: boolean; ids: number[]; isFailed: boolean; }> {
        let text = first.text;
        let isWhole = first.isWhole;
        let isFailed = hasFailed(first);
        const ids = first.events.flatMap(event => event.id === undefined ? [] : [event.id]);
        while (!isWhole && !isFailed && Date.now() - startedMs < limitMs) {
            await pause(retryDelayMs);
            const node = this.pickNode();
            const rest = await waitWithTimeout(
                this.caller.resume(node, first.requestId!, ids.at(-1)).catch(() => undefined),
                responseTimeoutMs,
            );
            if (rest?.status === 200) {
                this.options.tally.count("streams resumed");
                text += rest.text;
                isWhole = rest.isWhole;
                isFailed = hasFailed(rest);
                ids.push(...rest.events.flatMap(event => event.id === undefined ? [] : [event.id]));
            }
        }
        return { text, isWhole, ids, isFailed };
    }

    private checkStream(
        expected: string,
        outcome: { text: string; isWhole: boolean; ids: number[]; isFailed: boolean; },
        requestId: string,
        startedMs: number,
    ): void {
        const { tally } = this.options;
        tally.check(
            "events without gaps",
            outcome.ids.every((id, index) => id === index),
            () => `draft ${requestId}: ${outcome.ids.join(",")}`,
        );
        if (outcome.isWhole) {
            tally.count("drafts answered");
            tally.check("whole answers", outcome.text === expected, () => `draft ${requestId}`);
        }
        else if (outcome.isFailed) {
            tally.count("drafts ended with an error");
        }
        else if (this.hasNodeBeenKilledSince(startedMs)) {
            tally.count("drafts lost with a node that died unannounced");
        }
        else {
            tally.fail(
                "accepted work survives",
                `draft ${requestId} got ${outcome.ids.length} events and no end`,
            );
        }
    }

    /**
     * Whether a node was killed during the request or up to 1 s before it. Only this may lose an accepted request that
     * is not stored.
     */
    private hasNodeBeenKilledSince(startedMs: number): boolean {
        return [...this.options.cluster.killTimesMs.values()].some(endMs => endMs > startedMs - 1_000);
    }

    private async waitForSummary(requestId: string, startedMs: number): Promise<string | undefined> {
        while (Date.now() - startedMs < batchTimeoutMs) {
            await pause(retryDelayMs * 2);
            const answer = await waitWithTimeout(
                this.caller.call(this.pickNode(), `/v1/requests/${requestId}`),
                responseTimeoutMs,
            );
            if (answer?.status === 200 && answer.body.state === "answered") {
                const completion = answer.body.answer as { choices: { message: { content: string; }; }[]; };
                return completion.choices[0].message.content;
            }
        }
        return undefined;
    }

    private countRefusal(stream: ReceivedStream | undefined, kind: string): void {
        if (!stream || stream.status === 0) {
            this.options.tally.count(`${kind}s with no connection`);
            return;
        }
        const body = parseFailure(stream.body);
        this.options.tally.count(`${kind}s refused ${body?.error.name ?? "without reason"}`);
    }

    private generateExpected(prompt: string, maxTokens?: number): string {
        return generateAnswer(`user\n${prompt}\n`, maxTokens);
    }

    private pickNode(): SoakNode {
        const { cluster, random } = this.options;
        return cluster.nodes[random.drawInt(cluster.nodes.length)];
    }
}

const emptyStream: ReceivedStream = {
    status: 0,
    requestId: undefined,
    events: [],
    isWhole: false,
    isBroken: true,
    text: "",
    body: "",
};

const hasFailed = (stream: ReceivedStream): boolean =>
    stream.events.at(-1)?.data.startsWith("{\"error\"") ?? false;

const parseFailure = (body: string): FailureBody | undefined => {
    try {
        return JSON.parse(body) as FailureBody;
    }
    catch {
        return undefined;
    }
};

/** Waits for a result; resolves to undefined on a time-out or an error, such as a broken connection. */
const waitWithTimeout = <T>(pending: Promise<T>, limitMs: number): Promise<T | undefined> => {
    let timer: NodeJS.Timeout;
    const late = new Promise<undefined>(resolve => {
        timer = setTimeout(() => resolve(undefined), limitMs);
    });
    return Promise.race([pending.catch(() => undefined), late]).finally(() => clearTimeout(timer));
};
