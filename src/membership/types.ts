/** Types of the membership. */

/** State of a member: a `leaving` one completes its requests but gets no new callers; a `gone` one is unreachable. */
export type MemberState = "live" | "leaving" | "gone";

/** A node as it is announced to the other members. */
export interface Member {
    readonly nodeId: string;
    readonly dataCentre: string;
    /** Base URL for callers and operators. */
    readonly callersUrl: string;
    /** Web-socket URL for other members. */
    readonly peersUrl: string;
    readonly state: MemberState;
    /**
     * Wall-clock time at which the process started, in milliseconds; tells a restarted node from its former process.
     */
    readonly incarnation: number;
}
