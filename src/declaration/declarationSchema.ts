import { z } from "zod";

const nameSchema = z.string().regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    "expected lower-case letters, digits and dashes",
);
const hashSchema = z.string().regex(/^[0-9a-f]{64}$/, "expected 64 hexadecimal digits of a SHA-256 hash");
const positiveMs = z.number().positive();

const latencySchema = z.object({
    /** Target for the time to the first token, in milliseconds, for 95 % of requests. */
    firstTokenMs: positiveMs,
    /** Target for the mean time between tokens, in milliseconds, for 95 % of requests. */
    betweenTokensMs: positiveMs,
    /** Target for the time to the complete answer, in milliseconds. */
    wholeMs: positiveMs,
}).strict();

const classSchema = z.object({
    name: nameSchema,
    latency: latencySchema,
    /** Maximum cost of a thousand answered requests, in the unit of the cloud's prices. */
    cost: z.object({ maxPerThousand: z.number().positive() }).strict().optional(),
    /** What an accepted request survives. */
    durability: z.enum(["none", "survives-reclaim", "kept-from-acceptance"]),
    /** Interactive requests take precedence over batch requests. */
    urgency: z.enum(["interactive", "batch"]).default("interactive"),
}).strict();

const callSchema = z.object({
    method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
    /** Path prefix within the service. */
    path: z.string().startsWith("/"),
    idempotent: z.boolean(),
}).strict();

const modelServiceSchema = z.object({
    name: nameSchema,
    kind: z.literal("model"),
    /** Whether the engine refuses orders that carry an old fencing number. */
    checksFencing: z.boolean(),
    defaultClass: nameSchema,
    /** Names that callers may use as `model` in addition to the service's own name. */
    models: z.array(z.string().min(1)).default([]),
}).strict();

const plainServiceSchema = z.object({
    name: nameSchema,
    kind: z.literal("plain"),
    defaultClass: nameSchema,
    /** Calls whose idempotency differs from the method's usual one (GET, HEAD, PUT and DELETE are idempotent). */
    calls: z.array(callSchema).default([]),
}).strict();

const accountSchema = z.object({
    id: nameSchema,
    keyHashes: z.array(hashSchema).min(1),
    /** Services that the account may use. */
    services: z.array(nameSchema).min(1),
}).strict();

/** Schema of the declaration: work classes, services and client accounts. Every object is strict. */
export const declarationSchema = z.object({
    classes: z.array(classSchema).min(1),
    services: z.array(z.discriminatedUnion("kind", [modelServiceSchema, plainServiceSchema])).min(1),
    clientAccounts: z.array(accountSchema),
}).strict().superRefine((declaration, context) => {
    reportDuplicates(declaration.classes.map(item => item.name), "classes", "name", context);
    reportDuplicates(declaration.services.map(item => item.name), "services", "name", context);
    reportDuplicates(declaration.clientAccounts.map(item => item.id), "clientAccounts", "id", context);
    const classNames = new Set(declaration.classes.map(item => item.name));
    const serviceNames = new Set(declaration.services.map(item => item.name));
    declaration.services.forEach((service, index) => {
        if (!classNames.has(service.defaultClass)) {
            const message = `expected the name of a declared work class, got "${service.defaultClass}"`;
            context.addIssue({ code: "custom", path: ["services", index, "defaultClass"], message });
        }
    });
    declaration.clientAccounts.forEach((account, index) => {
        account.services.forEach((name, position) => {
            if (!serviceNames.has(name)) {
                const message = `expected the name of a declared service, got "${name}"`;
                context.addIssue({
                    code: "custom",
                    path: ["clientAccounts", index, "services", position],
                    message,
                });
            }
        });
    });
});

const reportDuplicates = (
    names: readonly string[],
    list: string,
    field: string,
    context: z.RefinementCtx,
): void => {
    names.forEach((name, index) => {
        if (names.indexOf(name) !== index) {
            context.addIssue({
                code: "custom",
                path: [list, index, field],
                message: `"${name}" is used more than once`,
            });
        }
    });
};

/** A validated declaration. */
export type Declaration = z.output<typeof declarationSchema>;
/** A work class with its targets. */
export type WorkClass = Declaration["classes"][number];
/** A service that the system routes to. */
export type DeclaredService = Declaration["services"][number];
/** A model service. */
export type ModelService = Extract<DeclaredService, { kind: "model"; }>;
/** A plain service. */
export type PlainService = Extract<DeclaredService, { kind: "plain"; }>;
/** A client account. */
export type ClientAccount = Declaration["clientAccounts"][number];
