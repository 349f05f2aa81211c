import { hashToUint32 } from "../src/_lib/hashToUint32";

const vocabulary: readonly string[] = [
    "the",
    "charge",
    "soaked",
    "at",
    "temperature",
    "for",
    "hours",
    "quench",
    "oil",
    "hardness",
    "was",
    "below",
    "target",
    "because",
    "agitation",
    "dropped",
    "verge",
    "segment",
    "crew",
    "plan",
    "season",
    "mowing",
    "release",
    "batch",
    "furnace",
    "cycle",
    "record",
    "shows",
    "delay",
    "transfer",
    "and",
    "check",
];

const minAnswerTokens = 24;
const answerTokenRange = 64;

/**
 * Generates one token of an answer. Tokens depend only on the prompt and their position. A test can therefore check a
 * complete answer even if it was resumed on several upstreams.
 *
 * @param seed - hash of the prompt
 * @param index - position of the token in the answer, from 0
 * @returns the token's text
 */
export const generateToken = (seed: number, index: number): string =>
    ` ${vocabulary[hashToUint32(`${seed}:${index}`) % vocabulary.length]}`;

/**
 * Counts the tokens of an answer.
 *
 * @param seed - hash of the prompt
 * @param maxTokens - the caller's limit; when given, the answer has exactly this length
 * @returns number of tokens
 */
export const countAnswerTokens = (seed: number, maxTokens: number | undefined): number =>
    maxTokens ?? minAnswerTokens + seed % answerTokenRange;

/**
 * Generates the complete answer to a prompt.
 *
 * @param prompt - text of the prompt, as `extractPromptText` returns it
 * @param maxTokens - the caller's limit; when given, the answer has exactly this length
 * @returns the answer's text
 */
export const generateAnswer = (prompt: string, maxTokens?: number): string => {
    const seed = hashToUint32(prompt);
    const count = countAnswerTokens(seed, maxTokens);
    return Array.from({ length: count }, (_, index) => generateToken(seed, index)).join("");
};
