import { hashText } from "../_lib/hashText";
import { parseJson } from "../_lib/parseJson";
import { parseWithSchema } from "../_lib/parseWithSchema";
import { formatSchemaProblems } from "../_lib/formatSchemaProblems";
import type { Declaration, WorkClass } from "../declaration/declarationSchema";
import type { Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import { type ChatBody, chatBodySchema } from "../streams/chatBodySchema";
import { computeBodyDigest } from "../streams/computeBodyDigest";
import { deliverAnswer } from "./deliverAnswer";
import { authenticateCaller } from "./authenticateCaller";
import type { CallerContext } from "./CallerContext";
import { checkAdmission } from "./checkAdmission";
import { findOrAcceptRequest } from "./findOrAcceptRequest";
import { holdParsedFields } from "./holdParsedFields";
import { readExchangeBody } from "./readExchangeBody";
import { readIdempotencyKey } from "./readIdempotencyKey";
import { relayAnswer } from "./relayAnswer";
import type { Exchange } from "./Exchange";

const keyHashDigits = 32;

/**
 * Serves `POST /v1/chat/completions`, with an event stream or one JSON body.
 *
 * @param context - services and settings of the node
 * @param exchange - the HTTP exchange
 * @throws FailureError when the request is refused
 */
export function* handleChat(context: CallerContext, exchange: Exchange): Task<void> {
    const { account: { id: accountId } } = authenticateCaller(exchange.request, context.configuration);
    const bytes = yield* waitFor(readExchangeBody(exchange, { ...context, accountId }));
    checkAdmission(context);
    // Again, as the body may have ended long after its head.
    const { account, configuration } = authenticateCaller(exchange.request, context.configuration);
    holdParsedFields(exchange, bytes);
    const body = parseChatBody(bytes);
    const service = findModelService(configuration.declaration, body.model);
    if (!account.services.includes(service.name)) {
        const message = `account "${account.id}" may not use service "${service.name}"`;
        throw new FailureError(createFailure(resultCodes.forbidden, message));
    }
    const workClass = findWorkClass(configuration.declaration, exchange, service.defaultClass);
    const key = readIdempotencyKey(exchange.request);
    const isStream = body.stream === true;
    if (key === undefined) {
        const record = yield* waitFor(
            context.chatRequests.accept({ accountId: account.id, service: service.name, workClass, body }),
        );
        return yield* deliverAnswer(context, exchange, record, isStream, 0);
    }
    const requestId = `key.${hashText(`${account.id}\n${key}`).slice(0, keyHashDigits)}`;
    const location = yield* findOrAcceptRequest(context, exchange, {
        accountId: account.id,
        service: service.name,
        workClass,
        body,
        requestId,
    });
    if (location.kind === "here") {
        verifySameBody(computeBodyDigest(location.record.description.body), body);
        return yield* deliverAnswer(context, exchange, location.record, isStream, 0);
    }
    verifySameBody(location.bodyDigest, body);
    yield* relayAnswer(context, exchange, {
        requestId,
        accountId: account.id,
        isStream,
        nodeId: location.nodeId,
        offset: 0,
    });
}

const parseChatBody = (bytes: Buffer): ChatBody =>
    parseJson(bytes.toString("utf8"))
        .chain(document =>
            parseWithSchema(chatBodySchema, document).mapLeft(problems =>
                createFailure(resultCodes.badField, formatSchemaProblems(problems))
            )
        )
        .ifLeft(failure => {
            throw new FailureError(failure);
        })
        .unsafeCoerce();

const findModelService = (
    declaration: Declaration,
    model: string,
): { name: string; defaultClass: string; } => {
    const service = declaration.services.find(candidate =>
        candidate.kind === "model" && (candidate.name === model || candidate.models.includes(model))
    );
    if (!service) {
        throw new FailureError(createFailure(resultCodes.unknownModel, `model "${model}" does not exist`));
    }
    return service;
};

const findWorkClass = (declaration: Declaration, exchange: Exchange, defaultClass: string): WorkClass => {
    const name = exchange.request.headers["work-class"] ?? defaultClass;
    const workClass = declaration.classes.find(candidate => candidate.name === name);
    if (!workClass) {
        throw new FailureError(
            createFailure(resultCodes.unknownClass, `work class "${name}" does not exist`),
        );
    }
    return workClass;
};

const verifySameBody = (originalDigest: string, body: ChatBody): void => {
    if (originalDigest !== computeBodyDigest(body)) {
        const message = "the Idempotency-Key was used before with a different body";
        throw new FailureError(createFailure(resultCodes.idempotencyKeyReused, message));
    }
};
