import type { IncomingMessage } from "node:http";
import { StandInResponse, StandInServer } from "../StandInServer";

/** A call by the holder of the cloud lease, with its fencing token. */
export interface FencedCall {
    /** Monotonic time of the arrival, in milliseconds. */
    readonly atMs: number;
    readonly path: string;
    readonly holder: string;
    readonly fencing: number;
    readonly body: Readonly<Record<string, unknown>>;
}

/** Stand-in for the cloud calls that only the current holder of the cloud lease makes. Records all calls. */
export class FencedCloudStandIn {
    readonly calls: FencedCall[] = [];
    /** Whether scaling requests are refused with status 409 because no VM is available. */
    isOutOfCapacity = false;
    readonly server = new StandInServer((request, _response, body) => this.handle(request, body));

    /** Host and port; available once the server has started. */
    get address(): string {
        return this.server.url.slice("http://".length);
    }

    private handle(request: IncomingMessage, body: Buffer): unknown {
        this.calls.push({
            atMs: performance.now(),
            path: request.url!,
            holder: String(request.headers["x-sequoiagrade-duty-holder"]),
            fencing: Number(request.headers["x-sequoiagrade-fence-token"]),
            body: JSON.parse(body.toString("utf8")) as Record<string, unknown>,
        });
        return this.isOutOfCapacity && request.url === "/scale"
            ? new StandInResponse(409, { error: "none" })
            : {};
    }
}
