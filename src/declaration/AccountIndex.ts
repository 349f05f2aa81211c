import { timingSafeEqual } from "node:crypto";
import { hashText } from "../_lib/hashText";
import type { ClientAccount } from "./declarationSchema";

interface IndexedKey {
    readonly hash: Buffer;
    readonly account: ClientAccount;
}

const prefixDigits = 8;

/**
 * Finds client accounts by key. Keys are found by the beginning of their hash, which tells nothing of the key, and
 * then compared in constant time.
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
     * @returns the account, or undefined
     */
    find(key: string): ClientAccount | undefined {
        const text = hashText(key);
        const candidates = this.keys.get(text.slice(0, prefixDigits)) ?? [];
        const hash = Buffer.from(text, "hex");
        return candidates.find(candidate => timingSafeEqual(candidate.hash, hash))?.account;
    }

    private add(hash: string, account: ClientAccount): void {
        const prefix = hash.slice(0, prefixDigits);
        const keys = this.keys.get(prefix) ?? [];
        keys.push({ hash: Buffer.from(hash, "hex"), account });
        this.keys.set(prefix, keys);
    }
}
