import { z } from "zod";
import type { Clock } from "../kernel/types";
import { PeerError } from "../peers/PeerError";
import type { PeerNetwork } from "../peers/PeerNetwork";
import { type RequestSnapshot, requestSnapshotSchema } from "../streams/RequestSnapshot";

/** Options of {@link HandOverOffers}. */
export interface HandOverOffersOptions {
    readonly clock: Clock;
    readonly network: Pick<PeerNetwork, "registerHandler" | "call">;
    /** Throws if this node accepts no requests of other nodes now. */
    readonly checkAcceptance: () => void;
    /** Continues a request on this node; throws if it cannot. */
    readonly takeOver: (snapshot: RequestSnapshot) => void;
}

/** Input of {@link HandOverOffers.offer}. */
export interface OfferRequestOptions {
    /** Member that is to take the request. */
    readonly nodeId: string;
    readonly snapshot: RequestSnapshot;
    /** Whether the request is still to be handed over; asked when the member confirms that it takes the request. */
    readonly isWanted: () => boolean;
}

interface Offer extends Pick<OfferRequestOptions, "nodeId" | "isWanted"> {
    readonly number: number;
    /** Whether the member was told to go on with the request. */
    isGranted: boolean;
}

const offerMethod = "hand-over.offer";
const confirmMethod = "hand-over.confirm";
const takeMethod = "hand-over.take"; // of earlier versions, which do not ask before they go on with a request
const offerTimeoutMs = 800;
const confirmTimeoutMs = 400;
const confirmAttempts = 10;
const confirmRetryMs = 100;

const offerSchema = z.object({ number: z.number().int(), snapshot: requestSnapshotSchema });
const confirmSchema = z.object({ number: z.number().int(), requestId: z.string() });
const confirmReplySchema = z.object({ isGranted: z.boolean() });

/**
 * Offers requests to other members, and takes theirs. The member that is offered a request goes on with it only after it has
 * asked the offering node whether the offer still holds. That node alone decides, in one turn, so that an offer that arrives
 * after its time-out is of no effect.
 */
export class HandOverOffers {
    /** Last offers of this node that are open or granted, by request. */
    private readonly offers = new Map<string, Offer>();
    private nextNumber = 1;

    constructor(private readonly options: HandOverOffersOptions) {
        const { network } = options;
        network.registerHandler(offerMethod, (payload, fromNode) => this.handleOffer(payload, fromNode));
        network.registerHandler(confirmMethod, (payload, fromNode) => this.handleConfirm(payload, fromNode));
        network.registerHandler(takeMethod, payload => this.handleTake(payload));
    }

    /**
     * Offers a request to a member.
     *
     * @param options - the member and the request
     * @returns whether the member has taken it, or will; if not, it never will on this offer
     */
    async offer({ nodeId, snapshot, isWanted }: OfferRequestOptions): Promise<boolean> {
        const offer: Offer = { nodeId, isWanted, number: this.nextNumber, isGranted: false };
        this.nextNumber += 1;
        this.offers.set(snapshot.id, offer);
        try {
            const payload = { number: offer.number, snapshot };
            await this.options.network.call(nodeId, offerMethod, payload, offerTimeoutMs);
            return true;
        }
        catch (error) {
            const isRefused = error instanceof PeerError && error.kind === "refused";
            if (!isRefused && offer.isGranted) {
                return true;
            }
            this.offers.delete(snapshot.id);
            return false;
        }
    }

    /** Whether a member has acknowledged the last offer of a request, and was told to go on with it. */
    isGranted(requestId: string, nodeId: string): boolean {
        const offer = this.offers.get(requestId);
        return offer?.nodeId === nodeId && offer.isGranted;
    }

    private async handleOffer(payload: unknown, fromNode: string): Promise<unknown> {
        const { number, snapshot } = offerSchema.parse(payload);
        this.options.checkAcceptance();
        if (!await this.confirm({ number, requestId: snapshot.id }, fromNode)) {
            throw new Error(`the offer of request "${snapshot.id}" does not hold any more`);
        }
        this.options.takeOver(snapshot);
        return { taken: true };
    }

    private async handleTake(payload: unknown): Promise<unknown> {
        this.options.checkAcceptance();
        this.options.takeOver(requestSnapshotSchema.parse(payload));
        return { taken: true };
    }

    /** Asks a node whether its offer still holds, again where an answer is lost. */
    private async confirm(question: z.output<typeof confirmSchema>, fromNode: string): Promise<boolean> {
        const { clock, network } = this.options;
        for (let attempt = 0; attempt < confirmAttempts; attempt += 1) {
            try {
                const reply = await network.call(fromNode, confirmMethod, question, confirmTimeoutMs);
                return confirmReplySchema.parse(reply).isGranted;
            }
            catch {
                await clock.sleep(confirmRetryMs);
            }
        }
        return false;
    }

    private async handleConfirm(payload: unknown, fromNode: string): Promise<unknown> {
        const { number, requestId } = confirmSchema.parse(payload);
        const offer = this.offers.get(requestId);
        if (offer?.number !== number || offer.nodeId !== fromNode) {
            return { isGranted: false };
        }
        offer.isGranted ||= offer.isWanted();
        return { isGranted: offer.isGranted };
    }
}
