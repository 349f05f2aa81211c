import type { Socket } from "node:net";
import { StandInServer } from "./StandInServer";

/** A request that reached a {@link RawRunner}. */
export interface RawRequest {
    readonly method: string;
    readonly url: string;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    /** Requests that reached the runner on the same connection before. */
    readonly earlier: number;
}

/** Writes an answer, or a part of one, to the connection of a request. */
export type WriteRawAnswer = (socket: Socket, request: RawRequest) => void;

/** Stand-in for an upstream whose answers a test writes byte by byte. */
export class RawRunner {
    readonly softwareVersion = "v1";
    /** Requests that reached it, in order. */
    readonly requests: RawRequest[] = [];
    readonly server: StandInServer;
    private readonly counts = new WeakMap<Socket, number>();

    constructor(readonly id: string, private readonly writeAnswer: WriteRawAnswer) {
        this.server = new StandInServer(({ method = "", url = "", headers, socket }) => {
            const earlier = this.counts.get(socket) ?? 0;
            this.counts.set(socket, earlier + 1);
            const request = { method, url, headers, earlier };
            this.requests.push(request);
            this.writeAnswer(socket, request);
            return undefined;
        });
    }

    /** Host and port; available once the server has started. */
    get address(): string {
        return this.server.url.slice("http://".length);
    }
}
