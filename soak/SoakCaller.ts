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
    /** What each booking's caller was told last, by key. */
    readonly bookings: Map<string, RunState | "answered">;
}

const shortestAnswer = 20; // tokens
const answerSpread = 400; // tokens
const resumeLimitMs = 40_000;
const keptLimitMs = 90_000;
const retryPauseMs = 300;
const bookingTries = 6;
const quietLimitMs = 15_000; // a caller that hears nothing for so long connects anew

/** One caller that asks, resumes, books and checks what it is told. */
export class SoakCaller {
    private readonly caller: TestCaller;
    private requests = 0;

    constructor(private readonly options: SoakCallerOptions) {
        this.caller = new TestCaller(soakAccounts[options.number % soakAccounts.length].key);
    }

    /** Runs one random step. */
    async runRandomStep(): Promise<void> {
        this.requests += 1;
        const name = `${this.options.number}-${this.requests}`;
        const choice = this.options.random.drawInt(10);
        if (choice < 5) {
            await this.draft(name);
        }
        else if (choice < 7) {
            await this.summarise(name);
        }
        else if (choice < 9) {
            await this.book(name);
        }
        else {
            await this.lookUp();
        }
    }

    /** Streams a draft and resumes it wherever it breaks. */
    private async draft(name: string): Promise<void> {
        const { tally } = this.options;
        const startedMs = Date.now();
        const node = this.pickNode();
        const prompt = `Draft a season cutting plan ${name}.`;
        const maxTokens = shortestAnswer + this.options.random.drawInt(answerSpread);
        const first = await this.openStream(node, prompt, {}, maxTokens).catch(() => undefined);
        if (!first || first.requestId === undefined) {
            this.countRefusal(first, "draft");
            return;
        }
        tally.count("drafts accepted");
        const outcome = await this.followStream(first, startedMs, resumeLimitMs);
        this.judgeStream(this.expect(prompt, maxTokens), outcome, first.requestId, startedMs);
    }

    /** Asks for a batch summary, which is kept from acceptance on, and waits for its answer. */
    private async summarise(name: string): Promise<void> {
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
                first.text === this.expect(prompt),
                () => `batch ${first.requestId}`,
            );
            return;
        }
        const text = await this.waitForKept(first.requestId, startedMs);
        tally.check("accepted batch work is answered", text !== undefined, () => `batch ${first.requestId}`);
        tally.check(
            "whole answers",
            text === undefined || text === this.expect(prompt),
            () => `kept batch ${first.requestId}`,
        );
        if (text !== undefined) {
            tally.count("batches answered");
        }
    }

    /** Books under one key until it is told an outcome, from changing nodes. */
    private async book(name: string): Promise<void> {
        const { bookings, tally, cluster, random } = this.options;
        const key = `booking-${name}`;
        for (let attempt = 0; attempt < bookingTries; attempt += 1) {
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
            await pause(retryPauseMs);
        }
        tally.count(`bookings ended ${bookings.get(key)}`);
    }

    private async bookOnce(key: string): Promise<TestResponse | undefined> {
        return waitAtMost(this.caller.book(this.pickNode(), key), quietLimitMs);
    }

    private async lookUp(): Promise<void> {
        const answer = await waitAtMost(
            this.caller.call(this.pickNode(), "/v1/services/roster/status"),
            quietLimitMs,
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
        return await waitAtMost(stream, resumeLimitMs) ?? { ...emptyStream };
    }

    /** Reads on from the last event on any node until the answer is whole. */
    private async followStream(
        first: ReceivedStream,
        startedMs: number,
        limitMs: number,
    ): Promise<{ text: string; whole: boolean; ids: number[]; failed: boolean; }> {
        let text = first.text;
        let whole = first.isWhole;
        let failed = hasFailed(first);
        const ids = first.events.flatMap(event => event.id === undefined ? [] : [event.id]);
        while (!whole && !failed && Date.now() - startedMs < limitMs) {
            await pause(retryPauseMs);
            const node = this.pickNode();
            const rest = await waitAtMost(
                this.caller.resume(node, first.requestId!, ids.at(-1)).catch(() => undefined),
                quietLimitMs,
            );
            if (rest?.status === 200) {
                this.options.tally.count("streams resumed");
                text += rest.text;
                whole = rest.isWhole;
                failed = hasFailed(rest);
                ids.push(...rest.events.flatMap(event => event.id === undefined ? [] : [event.id]));
            }
        }
        return { text, whole, ids, failed };
    }

    private judgeStream(
        expected: string,
        outcome: { text: string; whole: boolean; ids: number[]; failed: boolean; },
        requestId: string,
        startedMs: number,
    ): void {
        const { tally } = this.options;
        tally.check(
            "events without gaps",
            outcome.ids.every((id, index) => id === index),
            () => `draft ${requestId}: ${outcome.ids.join(",")}`,
        );
        if (outcome.whole) {
            tally.count("drafts answered");
            tally.check("whole answers", outcome.text === expected, () => `draft ${requestId}`);
        }
        else if (outcome.failed) {
            tally.count("drafts ended with an error");
        }
        else if (this.isExcusedLoss(startedMs)) {
            tally.count("drafts lost with a node that died unannounced");
        }
        else {
            tally.fail(
                "accepted work survives",
                `draft ${requestId} got ${outcome.ids.length} events and no end`,
            );
        }
    }

    /** Only a node that died without notice may take a request along that is not kept. */
    private isExcusedLoss(startedMs: number): boolean {
        return [...this.options.cluster.killTimesMs.values()].some(endMs => endMs > startedMs - 1_000);
    }

    private async waitForKept(requestId: string, startedMs: number): Promise<string | undefined> {
        while (Date.now() - startedMs < keptLimitMs) {
            await pause(retryPauseMs * 2);
            const answer = await waitAtMost(
                this.caller.call(this.pickNode(), `/v1/requests/${requestId}`),
                quietLimitMs,
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

    private expect(prompt: string, maxTokens?: number): string {
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

/** Gives up after a while, and on a broken connection, as a caller does. */
const waitAtMost = <T>(pending: Promise<T>, limitMs: number): Promise<T | undefined> => {
    let timer: NodeJS.Timeout;
    const late = new Promise<undefined>(resolve => {
        timer = setTimeout(() => resolve(undefined), limitMs);
    });
    return Promise.race([pending.catch(() => undefined), late]).finally(() => clearTimeout(timer));
};
