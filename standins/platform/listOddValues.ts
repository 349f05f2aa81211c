/** A stored value as another writer may have left it. */
export interface OddValue {
    /** Name for the messages of tests. */
    readonly name: string;
    /** Bytes of the value; need not be JSON. */
    readonly bytes: Buffer;
}

const maxRowBytes = 49_152; // 65,536 bytes in base64
const arrayLevels = 24_000;
const objectLevels = 8_000;
const longTextLength = 40_000;
const nestedArray = "[".repeat(arrayLevels) + "]".repeat(arrayLevels);
const nestedObject = `${"{\"a\":".repeat(objectLevels)}1${"}".repeat(objectLevels)}`;
const longText = JSON.stringify("x".repeat(longTextLength));
const unprintable = "{\"toString\":1,\"valueOf\":1,\"toJSON\":1}";

/** JSON texts that no field of a sound row has, with a name each. */
const oddTexts: readonly (readonly [name: string, text: string])[] = [
    ["deep array", nestedArray],
    ["deep object", nestedObject],
    ["infinite number", "1e400"],
    ["negative infinite number", "-1e400"],
    ["huge number", "1e308"],
    ["2^64", "18446744073709551616"],
    ["2^53+1", "9007199254740993"],
    ["negative number", "-1"],
    ["fraction", "1.5"],
    ["NaN as text", "\"NaN\""],
    ["null", "null"],
    ["true", "true"],
    ["empty object", "{}"],
    ["empty array", "[]"],
    ["object without a text form", unprintable],
    ["long text", longText],
    ["empty text", "\"\""],
];

/** Values that are no row of any table. */
const oddBytes: readonly OddValue[] = [
    ...oddTexts.map(([name, text]) => ({ name, bytes: Buffer.from(text) })),
    { name: "empty", bytes: Buffer.alloc(0) },
    { name: "no JSON", bytes: Buffer.from("{\"service\":") },
    { name: "invalid UTF-8", bytes: Buffer.from([0x22, 0xff, 0xfe, 0xc0, 0x80, 0x22]) },
    { name: "invalid UTF-8 outside a text", bytes: Buffer.from([0xff, 0xfe, 0x00, 0x80]) },
    {
        name: "keys of prototypes",
        bytes: Buffer.from("{\"__proto__\":{\"a\":1},\"constructor\":{\"prototype\":{\"a\":1}},\"a\":2}"),
    },
    { name: "many members", bytes: Buffer.from(`[${Array(20_000).fill("1").join()}]`) },
];

/** Addresses that name no endpoint. */
const oddAddresses: readonly string[] = [
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999",
    "127.0.0.1:-1",
    "127.0.0.1:1.5",
    "127.0.0.1:1e3",
    "127.0.0.1:",
    "127.0.0.1",
    "[::1]:80",
    "host:80",
    " 127.0.0.1:80",
    "127.0.0.1:80/path",
    "user@127.0.0.1:80",
];

/**
 * Lists values of which each differs from a sound one in one field, or is no such row at all.
 *
 * @param sound - the sound value, an object
 * @param addressFields - names of the fields that hold an address, with the text before it
 * @returns the values; each fits into a row of 65,536 bytes in base64
 */
export const listOddValues = (
    sound: Readonly<Record<string, unknown>>,
    addressFields: Readonly<Record<string, string>> = {},
): OddValue[] => {
    const fields = Object.keys(sound).flatMap(field => [
        { name: `${field}: missing`, bytes: encodeFields(sound, field, undefined) },
        ...oddTexts.map(([name, text]) => ({
            name: `${field}: ${name}`,
            bytes: encodeFields(sound, field, text),
        })),
    ]);
    const addresses = Object.entries(addressFields).flatMap(([field, scheme]) =>
        oddAddresses.map(address => ({
            name: `${field}: ${address}`,
            bytes: encodeFields(sound, field, JSON.stringify(scheme + address)),
        }))
    );
    return [...oddBytes, ...fields, ...addresses].filter(({ bytes }) => bytes.length <= maxRowBytes);
};

/** Keys that other writers may use: as long as the store accepts, and with characters that need escaping somewhere. */
export const oddKeys: readonly string[] = [
    "k".repeat(200),
    "é".repeat(100),
    "__proto__",
    "constructor",
    "toString",
    "a b&c=d?e#f%g+h/i\\j\"k'l<m>",
    "line\nbreak\ttab\u0000nul\u007f",
    "\u{1f4a5}",
    "0",
];

/** Encodes a sound value with the JSON text of one field replaced; `undefined` leaves the field out. */
const encodeFields = (
    sound: Readonly<Record<string, unknown>>,
    field: string,
    text: string | undefined,
): Buffer => {
    const parts = Object.entries(sound)
        .map(([name, value]) => [name, name === field ? text : JSON.stringify(value)] as const)
        .filter(([, encoded]) => encoded !== undefined)
        .map(([name, encoded]) => `${JSON.stringify(name)}:${encoded}`);
    return Buffer.from(`{${parts.join()}}`);
};
