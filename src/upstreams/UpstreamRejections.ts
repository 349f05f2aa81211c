import { dropOldest } from "../_lib/dropOldest";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";

/** A listed upstream. */
export interface ListedUpstream {
    readonly id: string;
    readonly service: string;
    /** Address or URL as it is listed. */
    readonly address: string;
}

const maxRemembered = 1_000;

/** Tells listed upstreams that can be used from those whose address is none, and logs the latter. */
export class UpstreamRejections {
    /** Addresses that were rejected and logged, by the upstream's id. */
    private readonly rejected = new Map<string, string>();

    constructor(private readonly events: Pick<EventLog, "emit">) {}

    /**
     * Creates the client of an upstream.
     *
     * @param upstream - as listed
     * @param create - creates the client; throws if the address cannot be used
     * @returns the client, or undefined if the upstream cannot be used, which is logged once for each address
     */
    tryCreate<T>(upstream: ListedUpstream, create: () => T): T | undefined {
        try {
            const client = create();
            this.rejected.delete(upstream.id);
            return client;
        }
        catch (error) {
            this.record(upstream, error);
            return undefined;
        }
    }

    private record({ id, service, address }: ListedUpstream, error: unknown): void {
        if (this.rejected.get(id) === address) {
            return;
        }
        this.rejected.set(id, address);
        dropOldest(this.rejected, maxRemembered);
        this.events.emit(eventKinds.runnerRejected, { runner: id, service, address, error: String(error) });
    }
}
