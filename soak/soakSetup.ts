import { hashText } from "../src/_lib/hashText";

/** Services of the soak run. */
export const soakServices = { model: "llm", plain: "roster" } as const;

/** Operator token of the soak run. */
export const soakOperatorToken = "operator-token-of-soak";

/** Client accounts of the soak run. */
export const soakAccounts: readonly { readonly id: string; readonly key: string; }[] = [
    { id: "vatva-heat", key: "key-of-vatva-heat" },
    { id: "rajkot-forge", key: "key-of-rajkot-forge" },
];

/** Creates the declaration. A different `wholeMs` of the class `drafting` makes each revision differ. */
export const createSoakDeclaration = (wholeMs: number): unknown => ({
    classes: [
        {
            name: "drafting",
            latency: { firstTokenMs: 5_000, betweenTokensMs: 100, wholeMs },
            durability: "survives-reclaim",
        },
        {
            name: "batch",
            latency: { firstTokenMs: 20_000, betweenTokensMs: 200, wholeMs: 60_000 },
            durability: "kept-from-acceptance",
            urgency: "batch",
        },
        {
            name: "bookings",
            latency: { firstTokenMs: 1_000, betweenTokensMs: 1_000, wholeMs: 3_000 },
            durability: "none",
        },
    ],
    services: [
        { name: soakServices.model, kind: "model", checksFencing: true, defaultClass: "drafting" },
        {
            name: soakServices.plain,
            kind: "plain",
            defaultClass: "bookings",
            calls: [{ method: "POST", path: "/bookings", idempotent: false }],
        },
    ],
    clientAccounts: soakAccounts.map(account => ({
        id: account.id,
        keyHashes: [hashText(account.key)],
        services: Object.values(soakServices),
    })),
});
