import { attemptIdHeader, notExecutedHeader } from "./runnerHeaders";

/** Creates a success that nobody asked for; it bears an id only if one is given. */
export const createUnrequestedResponse = (attemptId?: string): string =>
    createAnswer("200 OK", listIdFields(attemptId), "not asked for");

/** Creates a refusal of an earlier request; it bears an id only if one is given. */
export const createRepeatedRefusal = (attemptId?: string): string =>
    createAnswer(
        "503 Service Unavailable",
        [`${notExecutedHeader}: 1`, ...listIdFields(attemptId)],
        "full",
    );

const listIdFields = (attemptId: string | undefined): string[] =>
    attemptId === undefined ? [] : [`${attemptIdHeader}: ${attemptId}`];

const createAnswer = (status: string, fields: readonly string[], body: string): string =>
    [`HTTP/1.1 ${status}`, ...fields, `content-length: ${body.length}`, "", body].join("\r\n");
