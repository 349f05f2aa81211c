import type { IncomingMessage, ServerResponse } from "node:http";
import { StandInResponse, StandInServer } from "./StandInServer";

/** Stand-in for the object store. */
export class ObjectStandIn {
    readonly objects = new Map<string, Buffer>();
    readonly server = new StandInServer((request, response, body) => this.handle(request, response, body));

    private handle(request: IncomingMessage, response: ServerResponse, body: Buffer): unknown {
        const url = new URL(request.url ?? "/", "http://objects");
        if (url.pathname === "/objects") {
            const prefix = url.searchParams.get("prefix") ?? "";
            return { keys: [...this.objects.keys()].filter(key => key.startsWith(prefix)) };
        }
        const key = decodeURIComponent(url.pathname.slice("/objects/".length));
        switch (request.method) {
            case "PUT":
                this.objects.set(key, body);
                return {};
            case "DELETE":
                this.objects.delete(key);
                return {};
            default: {
                const object = this.objects.get(key);
                if (!object) {
                    return new StandInResponse(404, { error: `object "${key}" does not exist` });
                }
                response.writeHead(200, { "content-length": object.length });
                response.end(object);
                return undefined;
            }
        }
    }
}
