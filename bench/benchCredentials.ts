/** The client account of the benches. */
export const benchAccount = { id: "bench", key: "key-of-bench" } as const;

/** The operator's token of the benches. */
export const benchOperatorToken = "operator-token-of-bench";
