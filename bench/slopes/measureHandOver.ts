import { encodeFrame } from "../../src/peers/encodeFrame";
import { generateToken } from "../../standins/generateToken";
import { fitLine } from "./fitLine";
import { measureCallMicroseconds } from "./measureOwnUsage";
import type { LinearFit, MeasuredPoint } from "./types";

const tokenCounts: readonly number[] = [50, 200, 800];
const promptBytes = 4_000;
const rounds = 5;

/** Measures the encoded size of a handed-over request and the time to encode it, by produced tokens. */
export const measureHandOver = (): LinearFit[] => {
    const bytes: MeasuredPoint[] = [];
    const cpu: MeasuredPoint[] = [];
    for (const size of tokenCounts) {
        const snapshot = createSnapshot(size);
        bytes.push({ size, value: encodeFrame(snapshot).length });
        cpu.push({ size, value: measureCallMicroseconds(rounds, 500, () => encodeFrame(snapshot)) });
    }
    return [
        fitLine("hand-over bytes", "produced token", bytes),
        fitLine("hand-over processor microseconds", "produced token", cpu),
    ];
};

const createSnapshot = (tokens: number): unknown => {
    let events = "";
    for (let index = 0; index < tokens; index += 1) {
        const content = JSON.stringify(generateToken(1, index));
        events +=
            `id: ${index}\ndata: {"id":"chatcmpl-entry-1.0123456789abcdef01234567","object":"chat.completion.chunk",`
            + `"created":0,"model":"llm","choices":[{"index":0,"delta":{"content":${content}},"finish_reason":null}]}\n\n`;
    }
    return {
        id: "entry-1.0123456789abcdef01234567",
        accountId: "account",
        service: "llm",
        className: "drafting",
        body: { model: "llm", messages: [{ role: "user", content: "x".repeat(promptBytes) }] },
        acceptedAtMs: 0,
        kept: false,
        events: Buffer.from(events),
        nextOffset: tokens,
        ended: false,
        attempts: 1,
    };
};
