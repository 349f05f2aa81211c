/** Shapes of the membership. */

/** State of a member: `leaving` still answers but gets no new callers; `gone` is not reachable. */
export type MemberState = "live" | "leaving" | "gone";

/** One node as its fellow members know it. */
export interface Member {
    readonly nodeId: string;
    readonly dataCentre: string;
    /** Base URL for callers and operators. */
    readonly callersUrl: string;
    /** Web-socket URL for members. */
    readonly peersUrl: string;
    readonly state: MemberState;
    /** Wall-clock time at which the process started, in milliseconds. */
    readonly incarnation: number;
}
