/** Client account that the benches use. */
export const benchAccount = { id: "bench", key: "key-of-bench" } as const;

/** Operator token of the benches' node. */
export const benchOperatorToken = "operator-token-of-bench";
