import { z } from "zod";
import { createArraySchema } from "../_lib/createArraySchema";

const partSchema = z.object({ type: z.string() }).passthrough();
const messageSchema = z.object({
    role: z.string().min(1),
    content: z.union([z.string(), createArraySchema(partSchema), z.null()]).optional(),
}).passthrough();

/** Schema of a chat-completions body. Fields that are not listed are passed to the engine unchanged. */
export const chatBodySchema = z.object({
    model: z.string().min(1),
    messages: createArraySchema(messageSchema, 1),
    stream: z.boolean().nullish(),
    max_tokens: z.number().int().positive().nullish(),
    max_completion_tokens: z.number().int().positive().nullish(),
    n: z.literal(1, { errorMap: () => ({ message: "expected 1, as each request gets one answer" }) })
        .nullish(),
}).passthrough();

/** A validated chat-completions body. */
export type ChatBody = z.output<typeof chatBodySchema>;
