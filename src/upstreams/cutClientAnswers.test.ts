import { createRawAnswers, type RawAnswer } from "../../standins/createRawAnswers";
import { RawRunner } from "../../standins/RawRunner";
import { type CutEnding, cutEndings, writeCutAnswer } from "../../standins/writeCutAnswer";
import { SeededRandom } from "../kernel/SeededRandom";
import { HttpEngineClient } from "./HttpEngineClient";
import { HttpPlainClient } from "./HttpPlainClient";

// To cut at every byte: CUT_EVERY=1 npx jest src/upstreams/cutClientAnswers

const cutEvery = Number(process.env.CUT_EVERY ?? 20);
const random = new SeededRandom(Number(process.env.CUT_SEED ?? 41));
const testTimeoutMs = Math.max(15_000, 600_000 / cutEvery);
const timeoutMs = 2_000;
const longBytes = 1_000; // beyond lies the middle of a field that is too long
const plainText = "the whole text";
const events = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
const streamText = `${events}id: 2\ndata: [DONE]\n\n`;

describe("an answer that is cut", () => {
    let runner: RawRunner;
    let bytes: string;
    let ending: CutEnding;

    beforeEach(async () => {
        runner = new RawRunner("runner", socket => writeCutAnswer(socket, bytes, ending));
        await runner.server.start();
    });

    afterEach(() => runner.server.stop());

    /** Makes a call for each cut of an answer; returns the cuts whose outcome is wrong, and the number of calls. */
    const findFaults = async (
        answer: RawAnswer,
        findWrong: () => Promise<string | undefined>,
    ): Promise<{ faults: string[]; calls: number; }> => {
        const faults: string[] = [];
        let calls = 0;
        const whole = answer.head + answer.rest;
        for (let length = 0; length <= Math.min(longBytes, whole.length); length += 1) {
            for (ending of Object.values(cutEndings)) {
                if (length < whole.length && random.drawInt(cutEvery) > 0) {
                    continue;
                }
                bytes = whole.slice(0, length);
                calls += 1;
                const wrong = await findWrong();
                faults.push(...(wrong === undefined ? [] : [`${length} bytes, ${ending}: ${wrong}`]));
            }
        }
        return { faults, calls };
    };

    const plainAnswers = createRawAnswers({ fields: ["x-id: 1"], text: plainText });
    it.each(plainAnswers.map(answer => [answer.name, answer] as const))(
        "is no answer of a plain service, and its call may have run: %s",
        async (_name, answer) => {
            const client = new HttpPlainClient({ url: runner.server.url, connectTimeoutMs: timeoutMs });
            const { faults, calls } = await findFaults(answer, async () => {
                const outcome = await client.call({
                    method: "POST",
                    path: "/",
                    headers: {},
                    body: Buffer.from("b"),
                    timeoutMs,
                });
                if ("failure" in outcome) {
                    return outcome.failure.isSent ? undefined : "told not sent";
                }
                const received = answer.head + outcome.answer.body.toString("latin1");
                const endsRegularly = answer.endsWithConnection && ending !== "reset" && received === bytes;
                const isWhole = bytes.length === answer.head.length + answer.rest.length;
                const isSound = endsRegularly
                    || (isWhole && outcome.answer.body.toString("latin1") === plainText);
                return isSound ? undefined : `answer ${outcome.answer.body.toString("latin1")}`;
            });
            await client.close();
            expect([faults, calls > 0]).toEqual([[], true]);
        },
        testTimeoutMs,
    );

    const streamAnswers = createRawAnswers({
        fields: ["content-type: text/event-stream"],
        text: streamText,
    });
    it.each(streamAnswers.map(answer => [answer.name, answer] as const))(
        "is no complete stream of an engine, and has only whole events: %s",
        async (_name, answer) => {
            const client = new HttpEngineClient({ url: runner.server.url, timeoutMs });
            const { faults, calls } = await findFaults(answer, async () => {
                const { received, isEnded } = await readStream(client);
                const isWhole = received === streamText;
                const hasWholeEvents = streamText.startsWith(received)
                    && (received === "" || received.endsWith("\n\n"));
                return hasWholeEvents && (!isEnded || isWhole) ? undefined : JSON.stringify(received);
            });
            await client.close();
            expect([faults, calls > 0]).toEqual([[], true]);
        },
        testTimeoutMs,
    );

    const readStream = (client: HttpEngineClient): Promise<{ received: string; isEnded: boolean; }> => {
        const request = {
            requestId: "r",
            attempt: 1,
            attemptId: "a",
            body: {},
            offset: 0,
            producedText: "",
            priority: 1,
        };
        let received = "";
        return new Promise(resolve => {
            client.start(request, {
                onBatch: batch => {
                    received += batch.body.toString("latin1");
                },
                onEnd: () => resolve({ received, isEnded: true }),
                onError: () => resolve({ received, isEnded: false }),
            });
        });
    };
});
