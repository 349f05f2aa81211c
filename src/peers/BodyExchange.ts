import { createHash } from "node:crypto";
import { z } from "zod";
import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";
import { waitWithTimeout } from "../kernel/waitWithTimeout";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { maxBodyBytes } from "./constants";
import { decodeBody } from "./decodeBody";
import { encodeBody } from "./encodeBody";
import { PackedBodies } from "./PackedBodies";
import type { PeerNetwork } from "./PeerNetwork";

/** Options of {@link BodyExchange}. */
export interface BodyExchangeOptions {
    readonly network: Pick<PeerNetwork, "call" | "registerHandler">;
    readonly clock: Clock;
    readonly events: EventLog;
}

/** Schema of {@link BodyReference}. */
export const bodyReferenceSchema = z.object({
    digest: z.string().length(64),
    bytes: z.number().int().positive().max(maxBodyBytes),
});

/** Names a large value that members can be asked for. */
export type BodyReference = z.output<typeof bodyReferenceSchema>;

const method = "body.part";
const partBytes = 16_384; // heartbeats of a thin link wait for no more than the parts on their way
const partTimeoutMs = 1_000;
const holdMs = 400; // a member that is asked may be receiving the body itself
const maxHeldParts = 8; // of one source in a row, before the next one is asked
const questionSchema = z.object({ digest: z.string(), offset: z.number().int().nonnegative() });

/**
 * Passes large values between members. One that has a value tells the others its reference; each of them asks one member
 * for it, part by part, so that a link carries one compressed copy, other messages go in between, and a time limit covers
 * a part and not the whole.
 */
export class BodyExchange {
    private readonly bodies = new PackedBodies();

    constructor(private readonly options: BodyExchangeOptions) {}

    async start(): Promise<void> {
        this.options.network.registerHandler(method, payload => this.answerPart(payload));
    }

    /**
     * Offers a value to the members.
     *
     * @param value - plain data
     * @returns its reference, which is the same for equal values; undefined if the value is small enough to be sent as it is
     */
    offer(value: unknown): BodyReference | undefined {
        const packed = encodeBody(value);
        if (!packed) {
            return undefined;
        }
        const digest = hashBody(packed);
        this.bodies.add(digest, packed);
        return { digest, bytes: packed.length };
    }

    /** Reads a value that this node has itself; undefined if it has not. */
    find({ digest }: BodyReference): unknown {
        const packed = this.bodies.find(digest);
        return packed && decodeBody(packed);
    }

    /**
     * Pulls a value from members, and offers it to others from then on.
     *
     * @param reference - the value's reference
     * @param sources - names of the members to ask, in this order; may grow meanwhile
     * @returns the value; undefined if no member had it
     */
    async pull(reference: BodyReference, sources: string[]): Promise<unknown> {
        const packed = await this.pullParts(reference, sources);
        if (!packed) {
            this.reportProblem("value was not received", reference);
            return undefined;
        }
        const value = this.decodeChecked(packed, reference);
        if (value !== undefined) {
            this.bodies.add(reference.digest, packed);
        }
        return value;
    }

    /** Decodes a value as received; undefined if it is not the one that its reference names, or no value at all. */
    private decodeChecked(packed: Buffer, reference: BodyReference): unknown {
        if (hashBody(packed) !== reference.digest) {
            this.reportProblem("value differs from its digest", reference);
            return undefined;
        }
        try {
            return decodeBody(packed);
        }
        catch (error) {
            this.reportProblem(String(error), reference);
            return undefined;
        }
    }

    private reportProblem(reason: string, { bytes }: BodyReference): void {
        this.options.events.emit(eventKinds.peerRejected, { reason, bytes });
    }

    private async pullParts(
        { digest, bytes }: BodyReference,
        sources: string[],
    ): Promise<Buffer | undefined> {
        const packed = Buffer.alloc(bytes);
        let received = 0;
        let held = 0;
        while (received < bytes) {
            const [source] = sources;
            if (source === undefined) {
                return undefined;
            }
            const part = await this.requestPart(source, digest, received);
            received += part?.copy(packed, received) ?? 0;
            held = part?.length === 0 ? held + 1 : 0;
            if (!part || held >= maxHeldParts) {
                sources.shift();
                held = 0;
            }
        }
        return packed;
    }

    /** Asks a member for a part; empty if it has none yet, undefined if it cannot be asked. */
    private async requestPart(source: string, digest: string, offset: number): Promise<Buffer | undefined> {
        try {
            const part = await this.options.network.call(source, method, { digest, offset }, partTimeoutMs);
            return Buffer.isBuffer(part) ? part : Buffer.alloc(0);
        }
        catch (error) {
            this.options.events.emit(eventKinds.peerRejected, { reason: String(error), peer: source });
            return undefined;
        }
    }

    private async answerPart(payload: unknown): Promise<Buffer | undefined> {
        const { digest, offset } = questionSchema.parse(payload);
        const { clock } = this.options;
        const packed = this.bodies.find(digest)
            ?? await waitWithTimeout({ clock, promises: [this.bodies.wait(digest)], timeoutMs: holdMs });
        return packed?.subarray(offset, offset + partBytes);
    }
}

const hashBody = (packed: Buffer): string => createHash("sha256").update(packed).digest("hex");

/** Name of the body exchange service. */
export const bodyExchangeName = createServiceName<BodyExchange>("body-exchange");
