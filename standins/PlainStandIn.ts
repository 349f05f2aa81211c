import type { IncomingMessage } from "node:http";
import { pause } from "./pause";
import { StandInResponse, StandInServer } from "./StandInServer";

/** One execution of a booking request. */
export interface BookingRun {
    readonly idempotencyKey: string | undefined;
    readonly atMs: number;
}

interface Booking {
    readonly id: string;
    readonly details: unknown;
}

/**
 * Stand-in for a transactional booking service. It executes every request, also one with a repeated idempotency key,
 * and records each execution; tests use the record to detect duplicates.
 */
export class PlainStandIn {
    readonly runs: BookingRun[] = [];
    /** Time of each execution, in milliseconds. */
    workMs = 0;
    readonly server = new StandInServer((request, _response, body) => this.handle(request, body));
    private readonly bookings = new Map<string, Booking>();

    constructor(private readonly name: string) {}

    private handle(request: IncomingMessage, body: Buffer): unknown {
        const path = (request.url ?? "/").split("?")[0];
        if (path === "/runs") {
            return { runs: this.runs };
        }
        if (request.method === "POST" && path === "/bookings") {
            return this.book(request, body);
        }
        if (request.method === "GET" && path.startsWith("/bookings/")) {
            const booking = this.bookings.get(path.slice("/bookings/".length));
            return booking ?? new StandInResponse(404, { error: "booking does not exist" });
        }
        if (path === "/status") {
            return { service: this.name, bookings: this.bookings.size };
        }
        return new StandInResponse(404, { error: `path "${path}" does not exist` });
    }

    private async book(request: IncomingMessage, body: Buffer): Promise<StandInResponse> {
        const idempotencyKey = request.headers["idempotency-key"] as string | undefined;
        this.runs.push({ idempotencyKey, atMs: Date.now() });
        const booking = {
            id: `${this.name}-${this.runs.length}`,
            details: JSON.parse(body.toString("utf8") || "{}"),
        };
        this.bookings.set(booking.id, booking);
        if (this.workMs > 0) {
            await pause(this.workMs);
        }
        return new StandInResponse(201, booking);
    }
}
