import type { FencedCall } from "./FencedCloudStandIn";

/** Options of {@link listFencingBreaches}. */
export interface ListFencingBreachesOptions {
    /** Time within which two holders must not act in the order A, B, A, in milliseconds. */
    readonly leaseMs: number;
}

/** What a cloud that does not check fencing numbers remembers of one duty and subject. */
interface SubjectHistory {
    highest: number;
    readonly holderByFencing: Map<number, string>;
    readonly arrivals: FencedCall[];
}

/**
 * Judges calls in the order of their arrival: no lower fencing number than one that was seen for the duty and subject, no
 * number of two holders, and no two holders in the order A, B, A within the lease.
 *
 * @param calls - calls in the order of their arrival
 * @param options - length of the lease
 * @returns one line for each breach
 */
export const listFencingBreaches = (
    calls: readonly FencedCall[],
    { leaseMs }: ListFencingBreachesOptions,
): string[] => {
    const subjects = new Map<string, SubjectHistory>();
    return calls.flatMap(call => {
        const subject = formatSubject(call);
        const history = subjects.get(subject) ?? createHistory();
        subjects.set(subject, history);
        const breaches = listBreaches(call, history, leaseMs);
        history.highest = Math.max(history.highest, call.fencing);
        history.holderByFencing.set(call.fencing, call.holder);
        history.arrivals.push(call);
        return breaches.map(breach => `${Math.round(call.atMs)} ms, ${call.path} ${subject}: ${breach}`);
    });
};

const createHistory = (): SubjectHistory => ({
    highest: -Infinity,
    holderByFencing: new Map(),
    arrivals: [],
});

const formatSubject = ({ path, body }: FencedCall): string =>
    path === "/usage" ? "usage" : `${String(body.service)} ${String(body.zone)}`;

const listBreaches = (call: FencedCall, history: SubjectHistory, leaseMs: number): string[] => {
    const { holder, fencing } = call;
    const breaches: string[] = [];
    if (!(fencing >= history.highest)) {
        breaches.push(`${holder} sent ${fencing} after ${history.highest} had been seen`);
    }
    const other = history.holderByFencing.get(fencing) ?? holder;
    if (other !== holder) {
        breaches.push(`${holder} sent ${fencing}, a number of ${other}`);
    }
    if (isAlternation(call, history.arrivals, leaseMs)) {
        breaches.push(`${holder} acted before and after another holder within ${leaseMs} ms`);
    }
    return breaches;
};

/** Whether the holder also acted before the last call of another holder, within the lease. */
const isAlternation = (call: FencedCall, arrivals: readonly FencedCall[], leaseMs: number): boolean => {
    const recent = arrivals.filter(({ atMs }) => call.atMs - atMs < leaseMs);
    const lastOther = recent.findLastIndex(({ holder }) => holder !== call.holder);
    return recent.slice(0, Math.max(0, lastOther)).some(({ holder }) => holder === call.holder);
};
