import type { RandomSource } from "../kernel/types";
import type { Member } from "../membership/types";

/** Options of {@link selectEntries}. */
export interface SelectEntriesOptions {
    readonly members: readonly Member[];
    readonly random: RandomSource;
    /** Most addresses in an answer; default 8. */
    readonly limit?: number;
}

const defaultLimit = 8;

/**
 * Selects the addresses that a caller may use. Their order is random, so that callers who keep the first one
 * spread evenly; data centres alternate, so that a caller's next try is in another one.
 *
 * @param options - members and limit
 * @returns base URLs of live members; leaving ones are absent
 */
export const selectEntries = (options: SelectEntriesOptions): string[] => {
    const byDataCentre = new Map<string, Member[]>();
    for (const member of shuffle(options.members, options.random)) {
        if (member.state === "live") {
            byDataCentre.set(member.dataCentre, [...byDataCentre.get(member.dataCentre) ?? [], member]);
        }
    }
    const urls: string[] = [];
    const lists = [...byDataCentre.values()];
    const live = lists.reduce((sum, list) => sum + list.length, 0);
    const limit = Math.min(live, options.limit ?? defaultLimit);
    for (let round = 0; urls.length < limit; round += 1) {
        lists.filter(list => list.length > round).forEach(list => urls.push(list[round].callersUrl));
    }
    return urls.slice(0, limit);
};

const shuffle = <T>(items: readonly T[], random: RandomSource): T[] => {
    const shuffled = [...items];
    for (let index = shuffled.length - 1; index > 0; index -= 1) {
        const other = random.drawInt(index + 1);
        [shuffled[index], shuffled[other]] = [shuffled[other], shuffled[index]];
    }
    return shuffled;
};
