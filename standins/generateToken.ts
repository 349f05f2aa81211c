import { hashToUint32 } from "../src/_lib/hashToUint32";

const words: readonly string[] = [
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

const shortestAnswer = 24; // tokens
const answerSpread = 64; // tokens

/**
 * Generates one token of an answer. The answer depends on the prompt alone, so that a whole answer can be
 * checked however often it was resumed.
 *
 * @param seed - hash of the prompt
 * @param index - position of the token
 * @returns the token's text
 */
export const generateToken = (seed: number, index: number): string =>
    ` ${words[hashToUint32(`${seed}:${index}`) % words.length]}`;

/**
 * Number of tokens of an answer.
 *
 * @param seed - hash of the prompt
 * @param maxTokens - the caller's limit, if any
 */
export const countAnswerTokens = (seed: number, maxTokens: number | undefined): number =>
    maxTokens ?? shortestAnswer + seed % answerSpread;

/**
 * The whole answer to a prompt.
 *
 * @param prompt - the prompt's text
 * @param maxTokens - the caller's limit, if any
 */
export const generateAnswer = (prompt: string, maxTokens?: number): string => {
    const seed = hashToUint32(prompt);
    const count = countAnswerTokens(seed, maxTokens);
    return Array.from({ length: count }, (_, index) => generateToken(seed, index)).join("");
};
