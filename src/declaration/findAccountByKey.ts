import { timingSafeEqual } from "node:crypto";
import { hashText } from "../_lib/hashText";
import type { ClientAccount } from "./declarationSchema";

/**
 * Finds the client account that a key belongs to. Every stored hash is compared in constant time.
 *
 * @param accounts - the declared accounts
 * @param key - the key as the caller sent it
 * @returns the account, or undefined
 */
export const findAccountByKey = (
    accounts: readonly ClientAccount[],
    key: string,
): ClientAccount | undefined => {
    const hash = Buffer.from(hashText(key), "hex");
    let found: ClientAccount | undefined;
    for (const account of accounts) {
        for (const stored of account.keyHashes) {
            if (timingSafeEqual(hash, Buffer.from(stored, "hex"))) {
                found = account;
            }
        }
    }
    return found;
};
