import { timingSafeEqual } from "node:crypto";
import { hashText } from "../_lib/hashText";
import type { ClientAccount } from "./declarationSchema";

interface IndexedKey {
    readonly hash: Buffer;
    readonly account: ClientAccount;
}

const hashPrefixDigits = 8;

/**
 * Finds client accounts by key. A prefix of the key's hash selects the candidates, whose hashes are then compared in
 * constant time. The prefix reveals nothing about the key.
 */
export class AccountIndex {
    private readonly keys = new Map<string, IndexedKey[]>();

    constructor(accounts: readonly ClientAccount[]) {
        for (const account of accounts) {
            account.keyHashes.forEach(hash => this.add(hash, account));
        }
    }

    /**
     * Finds the account that a key belongs to.
     *
     * @param key - the key as the caller sent it
     * @returns the account, or undefined if the key is unknown
     */
    find(key: string): ClientAccount | undefined {
        const text = hashText(key);
        const candidates = this.keys.get(text.slice(0, hashPrefixDigits)) ?? [];
        const hash = Buffer.from(text, "hex");
        return candidates.find(candidate => timingSafeEqual(candidate.hash, hash))?.account;
    }

    private add(hash: string, account: ClientAccount): void {
        const prefix = hash.slice(0, hashPrefixDigits);
        const keys = this.keys.get(prefix) ?? [];
        keys.push({ hash: Buffer.from(hash, "hex"), account });
        this.keys.set(prefix, keys);
    }
}
