/** An answer as bytes, for tests that write it in part. */
export interface RawAnswer {
    readonly name: string;
    /** Head, with those of interim answers before it. */
    readonly head: string;
    /** What follows the head. */
    readonly rest: string;
    /** The body that these bytes mean. */
    readonly text: string;
    /** Whether the end of the connection is the end of the answer. */
    readonly endsWithConnection: boolean;
    /** Whether the protocol allows the answer; clients may reject others also where they are whole. */
    readonly isProper: boolean;
}

/** Options of {@link createRawAnswers}. */
export interface CreateRawAnswersOptions {
    /** Lines of the head without those that tell the length and the connection's end. */
    readonly fields: readonly string[];
    readonly text: string;
    /** Default: `200 OK`. */
    readonly status?: string;
}

const interimHead = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
const closeField = "connection: close";
const chunkedField = "transfer-encoding: chunked";
const tooLongField = `x-long: ${"x".repeat(20_000)}`;

/**
 * Creates one answer in the ways in which an upstream may write it, and in some that the protocol does not allow.
 *
 * @param options - head and body of the answer
 * @returns the answers
 */
export const createRawAnswers = (options: CreateRawAnswersOptions): RawAnswer[] => {
    const { fields, text, status = "200 OK" } = options;
    const sizeField = `content-length: ${Buffer.byteLength(text)}`;
    const chunks = encodeChunks(text);
    const create = (name: string, added: readonly string[], changed: Partial<RawAnswer> = {}): RawAnswer => ({
        name,
        head: encodeHead(`HTTP/1.1 ${status}`, [...fields, ...added]),
        rest: text,
        text,
        endsWithConnection: false,
        isProper: true,
        ...changed,
    });
    const createOdd = (name: string, added: readonly string[], changed: Partial<RawAnswer> = {}): RawAnswer =>
        create(name, added, { isProper: false, ...changed });
    const sizedHead = encodeHead(`HTTP/1.1 ${status}`, [...fields, sizeField]);
    return [
        create("length", [sizeField]),
        create("length, close", [sizeField, closeField]),
        create("length, other headers after it", [sizeField, "x-last: 1"]),
        create("chunks", [chunkedField], { rest: chunks }),
        create("chunks, close", [closeField, chunkedField], { rest: chunks }),
        create("chunks with trailers", [chunkedField, "trailer: x-sum"], {
            rest: chunks.replace(/\r\n$/, "x-sum: 1\r\n\r\n"),
        }),
        create("end of connection", [], { endsWithConnection: true }),
        create("end of connection, announced", [closeField], { endsWithConnection: true }),
        create("HTTP/1.0", [], {
            head: encodeHead(`HTTP/1.0 ${status}`, fields),
            endsWithConnection: true,
        }),
        create("HTTP/1.0 with length", [], {
            head: encodeHead(`HTTP/1.0 ${status}`, [...fields, sizeField]),
        }),
        create("no reason", [], {
            head: encodeHead(`HTTP/1.1 ${status.slice(0, 3)}`, [...fields, sizeField]),
        }),
        create("after an interim answer", [], { head: interimHead + sizedHead }),
        createOdd("line feeds alone", [], { head: sizedHead.replaceAll("\r\n", "\n") }),
        createOdd("folded field", [sizeField, "x-folded: a\r\n b"]),
        createOdd("length twice", [sizeField, sizeField]),
        createOdd("two lengths", [sizeField, "content-length: 1"]),
        createOdd("two lengths in one field", [`${sizeField}, 1`]),
        createOdd("length and chunks", ["content-length: 1", chunkedField], { rest: chunks }),
        createOdd("chunks and length", [chunkedField, "content-length: 1"], { rest: chunks }),
        createOdd("unknown coding", ["transfer-encoding: x-other"], { endsWithConnection: true }),
        createOdd("head too large", [tooLongField, sizeField]),
    ];
};

const encodeHead = (firstLine: string, fields: readonly string[]): string =>
    [firstLine, ...fields, "", ""].join("\r\n");

/** Encodes a text in two chunks, the first one with an extension. */
const encodeChunks = (text: string): string => {
    const half = Math.ceil(text.length / 2);
    const [first, second] = [text.slice(0, half), text.slice(half)];
    const lengths = [first, second].map(part => Buffer.byteLength(part).toString(16));
    return `${lengths[0]};x=1\r\n${first}\r\n${lengths[1]}\r\n${second}\r\n0\r\n\r\n`;
};
