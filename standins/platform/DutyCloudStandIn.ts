import type { IncomingMessage } from "node:http";
import { StandInAnswer, StandInServer } from "../StandInServer";

/** A call of a duty's holder. */
export interface DutyCall {
    readonly path: string;
    readonly holder: string;
    readonly fencing: number;
    readonly body: Readonly<Record<string, unknown>>;
}

/** Stand-in of the cloud calls that one node at a time makes. */
export class DutyCloudStandIn {
    readonly calls: DutyCall[] = [];
    /** Whether orders are refused because nothing is available. */
    hasNone = false;
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
        return this.hasNone && request.url === "/scale" ? new StandInAnswer(409, { error: "none" }) : {};
    }
}
