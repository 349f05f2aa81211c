import type { StreamOrigin } from "../origins/types";
import type { InstanceRegistry } from "../placement/InstanceRegistry";
import type { UpstreamInstance } from "../placement/types";

/** Options of {@link StreamBinding}. */
export interface StreamBindingOptions {
    readonly instances: Pick<InstanceRegistry, "listInService">;
    readonly service: string;
    /** What began the stream that the request takes up; undefined for other requests. */
    readonly origin: StreamOrigin | undefined;
}

/**
 * Binds one request to the software version that began its stream. A request that takes up no stream is bound by the
 * first answer that is a stream.
 */
export class StreamBinding {
    /** Undefined also where the upstream that began the stream did not state its version. */
    private version: string | undefined;
    /** Whether the request may be sent to upstreams of its version only. */
    isBound: boolean;

    constructor(private readonly options: StreamBindingOptions) {
        this.version = options.origin?.softwareVersion;
        this.isBound = options.origin !== undefined;
    }

    /** The version at which the stream goes on; undefined if none is known. */
    get softwareVersion(): string | undefined {
        return this.version;
    }

    /** Adopts the version of an upstream, unless the request is bound. */
    adopt({ softwareVersion }: Pick<UpstreamInstance, "softwareVersion">): void {
        if (!this.isBound) {
            this.isBound = true;
            this.version = softwareVersion;
        }
    }

    /** Whether the request may be sent to an upstream. */
    matches({ softwareVersion }: Pick<UpstreamInstance, "softwareVersion">): boolean {
        return !this.isBound || (softwareVersion !== undefined && softwareVersion === this.version);
    }

    /** Whether no upstream is listed, and not leaving, to which the request may be sent because of its version. */
    isGone(): boolean {
        const { instances, service } = this.options;
        return this.isBound
            && !instances.listInService(service).some(({ instance }) => this.matches(instance));
    }
}
