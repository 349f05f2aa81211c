/**
 * Hashes text to 32 bits: FNV-1a over the UTF-16 code units, then the MurmurHash3 finalizer. Not cryptographic.
 *
 * @param text - the text
 * @returns an unsigned 32-bit integer
 */
export const hashToUint32 = (text: string): number => {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index += 1) {
        hash ^= text.charCodeAt(index);
        hash = Math.imul(hash, 0x01000193);
    }
    hash ^= hash >>> 16;
    hash = Math.imul(hash, 0x85ebca6b);
    hash ^= hash >>> 13;
    hash = Math.imul(hash, 0xc2b2ae35);
    hash ^= hash >>> 16;
    return hash >>> 0;
};
