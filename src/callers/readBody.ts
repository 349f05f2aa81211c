import type { IncomingMessage } from "node:http";
import { ChunkBuffer } from "../_lib/ChunkBuffer";
import type { HeldBytes, Hold } from "../http/HeldBytes";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import { createCallerMemoryFailure } from "./createCallerMemoryFailure";

/** Where the bytes of a body are counted. */
export interface BodyRoom {
    readonly held: HeldBytes;
    /** Who the body is held for: a client account, or an address. */
    readonly owner: string;
    /** Called with the bytes that are held, which are to be given back when the request has ended. */
    readonly onHold: (hold: Hold) => void;
}

const emptyBody = Buffer.alloc(0);
const pieceBytes = 65_536; // held at a time for a body without a stated length
const noRoomMessage = "the node holds as many bytes of callers' requests as it may";
const closedMessage = "the connection closed before the end of the body";

/**
 * Reads the body of a request. Waits for room before it is read.
 *
 * @param request - the incoming request
 * @param maxBytes - maximum size of the body in bytes
 * @param room - where its bytes are counted; default: nowhere
 * @returns the body
 * @throws FailureError when it is larger, there is no room for it, it stands still while others need the room, or the
 *     connection closes before its end
 */
export const readBody = async (
    request: IncomingMessage,
    maxBytes: number,
    room?: BodyRoom,
): Promise<Buffer> => {
    const { "content-length": length, "transfer-encoding": coding } = request.headers;
    if (length === undefined && coding === undefined) {
        request.resume();
        return emptyBody;
    }
    const declaredBytes = Number(length ?? 0);
    if (declaredBytes > maxBytes) {
        request.resume();
        throw createFailureError(
            "bodyTooLarge",
            `the body has ${declaredBytes} bytes; the limit is ${maxBytes} bytes`,
        );
    }
    const reader = new BodyReader(request, maxBytes);
    if (room && (length === undefined || declaredBytes > 0)) {
        const { held, owner, onHold } = room;
        const bytes = length === undefined ? Math.min(pieceBytes, maxBytes) : declaredBytes;
        const hold = await held.hold({ owner, bytes, onGivenUp: () => reader.abort() });
        if (!hold) {
            request.resume();
            throw createCallerMemoryFailure(noRoomMessage);
        }
        onHold(hold);
        reader.adoptHold(hold, bytes);
    }
    return reader.read();
};

/** Reads one body. */
class BodyReader {
    private readonly body = new ChunkBuffer();
    private hold: Hold | undefined;
    private heldBytes = 0;
    private reject: (error: Error) => void = () => {};

    constructor(private readonly request: IncomingMessage, private readonly maxBytes: number) {}

    /** Counts the body with what is held for it, which grows with the body. */
    adoptHold(hold: Hold, bytes: number): void {
        this.hold = hold;
        this.heldBytes = bytes;
    }

    /** Ends the reading, as the body has stood still and its room is needed. */
    abort(): void {
        this.refuse(createFailureError("bodyTimeout", "the body stood still while others needed the memory"));
    }

    read(): Promise<Buffer> {
        const { request, body } = this;
        return new Promise((resolve, reject) => {
            this.reject = reject;
            if (request.destroyed && !request.complete) {
                reject(createFailureError("badJson", closedMessage)); // while it waited for room
                return;
            }
            request.on("data", (chunk: Buffer) => this.add(chunk));
            request.on("end", () => {
                this.hold?.markComplete();
                resolve(body.toBuffer());
            });
            request.on("error", reject);
            request.on("close", () => {
                if (!request.complete) {
                    reject(createFailureError("badJson", closedMessage));
                }
            });
        });
    }

    private add(chunk: Buffer): void {
        const length = this.body.length + chunk.length;
        if (length > this.maxBytes) {
            const message = `the body is larger than the limit of ${this.maxBytes} bytes`;
            this.refuse(createFailureError("bodyTooLarge", message));
            return;
        }
        if (!this.reserveUpTo(length)) {
            this.refuse(createCallerMemoryFailure(noRoomMessage));
            return;
        }
        this.hold?.markProgress();
        this.body.append(chunk);
    }

    private reserveUpTo(length: number): boolean {
        if (!this.hold || length <= this.heldBytes) {
            return true;
        }
        const bytes = Math.max(length - this.heldBytes, Math.min(pieceBytes, this.maxBytes - this.heldBytes));
        const hasRoom = this.hold.take(bytes);
        this.heldBytes += hasRoom ? bytes : 0;
        return hasRoom;
    }

    /** Refuses the request; what follows of the body is dropped. */
    private refuse(error: FailureError): void {
        this.body.clear();
        this.hold?.release();
        this.request.removeAllListeners("data");
        this.request.resume();
        this.reject(error);
    }
}

const createFailureError = (code: keyof typeof resultCodes, message: string): FailureError =>
    new FailureError(createFailure(resultCodes[code], message));
