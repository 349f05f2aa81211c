import type { IncomingMessage } from "node:http";
import { StandInResponse, StandInServer } from "../StandInServer";

/** A call of a duty's holder. */
export interface FencedCall {
    readonly path: string;
    readonly holder: string;
    readonly fencing: number;
    readonly body: Readonly<Record<string, unknown>>;
}

/** Stand-in of the cloud calls that one node at a time makes. */
export class FencedCloudStandIn {
    readonly calls: FencedCall[] = [];
    /** Whether orders are refused because nothing is available. */
    isOutOfCapacity = false;
    readonly server = new StandInServer((request, _response, body) => this.answer(request, body));

    /** Host and port; known after the server's start. */
    get address(): string {
        return this.server.url.slice("http://".length);
    }

    private answer(request: IncomingMessage, body: Buffer): unknown {
        this.calls.push({
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
