import type { RandomSource } from "../kernel/types";
import type { Member } from "../membership/types";

/** Options of {@link selectEntries}. */
export interface SelectEntriesOptions {
    readonly members: readonly Member[];
    readonly random: RandomSource;
    /** Maximum number of URLs; default 8. */
    readonly limit?: number;
}

const defaultLimit = 8;

/**
 * Selects the entry nodes that a caller may use. Their order is random, which spreads callers that always use
 * the first one. Data centres alternate, which puts a caller's next attempt into another data centre.
 *
 * @param options - members and limit
 * @returns base URLs of live members; members that are leaving are left out
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
    const liveCount = lists.reduce((sum, list) => sum + list.length, 0);
    const limit = Math.min(liveCount, options.limit ?? defaultLimit);
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
